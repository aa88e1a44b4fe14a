package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Tests {@link SettingsAgreement} through the ledger that uses it. */
class SettingsAgreementTest {
    private final LedgerFleet mFleet = new LedgerFleet(7, LedgerFleet.settings(2));

    @Test
    void firstVm_storesItsSettings_andAnotherVmWithTheSameSettings_isReady() {
        VmId a = mFleet.start("a", 1);
        assertThat(reason(a).kind()).isEqualTo(ErrorKind.NOT_READY);
        mFleet.mTime.runFor(1_000);
        VmId b = mFleet.start("b", 1);
        mFleet.mTime.runFor(1_000);

        assertThat(mFleet.ledger(a).readinessFailure()).isEmpty();
        assertThat(mFleet.ledger(b).readinessFailure()).isEmpty();
        assertThat(stored().orElseThrow()).contains("\"shards\":2");
    }

    @Test
    void vm_withAnotherShardCount_isNeverReady_andWritesToNoShard() {
        VmId a = mFleet.start("a", 1);
        mFleet.mTime.runFor(1_000);
        VmId other = mFleet.start("b", 1, LedgerFleet.settings(3));
        List<AttemptId> bills = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            bills.add(mFleet.bill(other, "r" + i, 1));
        }
        mFleet.mTime.runFor(60_000);

        assertThat(reason(other).message())
                .contains("\"shards\":3", "\"shards\":2", "requests/settings", "start this VM");
        assertThat(mFleet.mBillReplies).doesNotContainKeys(bills.toArray(AttemptId[]::new));
        assertThat(mFleet.audit().sum().bills()).isZero();
        assertThat(mFleet.ledger(a).readinessFailure()).isEmpty();
    }

    @Test
    void vm_withAnotherRetention_isNeverReady_andTheOthersBillWithoutIt() {
        mFleet.start("a", 1);
        mFleet.mTime.runFor(1_000);
        LedgerSettings two = LedgerFleet.settings(2);
        LedgerSettings shorter =
                new LedgerSettings(
                        2,
                        new Retention(60_000, 60_000, 0, 1 << 20, 3),
                        two.commit(),
                        two.backlog(),
                        two.claimWaitMs());
        VmId other = mFleet.start("b", 1, shorter);
        VmId c = mFleet.start("c", 1);
        for (int i = 0; i < 20; i++) {
            mFleet.bill(c, "r" + i, 1);
        }
        mFleet.mTime.runFor(60_000);

        assertThat(reason(other).message()).contains("\"retryMs\":60000");
        assertThat(mFleet.billedAttempts()).hasSize(20);
    }

    @Test
    void twoFirstVms_withDifferentSettings_doNotBothBecomeReady() {
        VmId a = mFleet.start("a", 1);
        VmId b = mFleet.start("b", 1, LedgerFleet.settings(3));
        mFleet.mTime.runFor(10_000);

        assertThat(
                        List.of(
                                mFleet.ledger(a).readinessFailure(),
                                mFleet.ledger(b).readinessFailure()))
                .containsOnlyOnce(Optional.empty());
    }

    @Test
    void vm_whoseRepliesAreLost_repeatsTheCall() {
        mFleet.mPlatform.setLossRates(0, 0.7);
        VmId a = mFleet.start("a", 1);
        mFleet.mTime.runFor(300_000);

        assertThat(mFleet.ledger(a).readinessFailure()).isEmpty();
    }

    @Test
    void vm_startedInAnOutage_becomesReadyAfterIt() {
        mFleet.mPlatform.setOutage(true);
        VmId a = mFleet.start("a", 1);
        mFleet.mTime.runFor(60_000);
        assertThat(reason(a).message()).contains("not read yet");

        mFleet.mPlatform.setOutage(false);
        mFleet.mTime.runFor(10_000);

        assertThat(mFleet.ledger(a).readinessFailure()).isEmpty();
    }

    private Failure reason(VmId vm) {
        return mFleet.ledger(vm).readinessFailure().orElseThrow();
    }

    private Optional<String> stored() {
        List<String> values = new ArrayList<>();
        mFleet.mPlatform
                .store()
                .submit(
                        0,
                        new PlatformCall.Get(SettingsAgreement.KEY),
                        (t, reply) -> {
                            if (reply instanceof PlatformReply.Found found) {
                                values.add(found.object().value());
                            }
                        });
        return values.stream().findFirst();
    }
}
