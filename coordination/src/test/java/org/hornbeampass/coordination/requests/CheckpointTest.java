package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/**
 * Guards against a log that grows without bound, and against checkpoints that lose ids, claims or
 * totals.
 */
class CheckpointTest {
    private static final long MINUTE_MS = 60_000;

    /** Remembers ids for 16 minutes, in generations of 2 minutes. */
    private final LedgerFleet mFleet =
            new LedgerFleet(
                    3, settings(new Retention(8 * MINUTE_MS, 8 * MINUTE_MS, 0, 1 << 20, 3)));

    private final VmId mA = mFleet.start("a", 1);

    @Test
    void log_below_the_checkpoint_is_truncated_and_no_bill_is_lost() {
        bills(mA, "r", 60);

        assertThat(stored("requests/0/").size()).isLessThan(40);
        assertThat(stored("request-checkpoints/0/").size()).isLessThan(20);
        assertThat(mFleet.billedAttempts()).hasSize(360);
    }

    @Test
    void new_vm_knows_the_bills_and_claims_of_the_checkpoint() {
        bills(mA, "r", 20);
        AttemptId claim = mFleet.claim(mA, "release-1", "mould 7");
        mFleet.mTime.runFor(1_000);
        mFleet.recordOutcome(claim, "released");
        bills(mA, "s", 4);
        mFleet.kill(mA);
        VmId b = mFleet.start("b", 1);
        mFleet.mTime.runFor(MINUTE_MS);

        AttemptId recent = mFleet.bill(b, "s0", 1);
        AttemptId inCheckpoint = mFleet.bill(b, "r100", 1);
        AttemptId forgotten = mFleet.bill(b, "r0", 1);
        AttemptId released = mFleet.claim(b, "release-1", "mould 7");
        mFleet.mTime.runFor(MINUTE_MS);

        assertThat(mFleet.billOutcome(recent)).contains(BillOutcome.DUPLICATE);
        assertThat(mFleet.billOutcome(inCheckpoint)).contains(BillOutcome.DUPLICATE);
        assertThat(mFleet.billOutcome(forgotten)).contains(BillOutcome.BILLED);
        assertThat(mFleet.claimStatus(released)).contains(ClaimOutcome.Status.RECORDED);
    }

    @Test
    void new_vm_raises_a_bill_of_the_checkpoint_only_once() {
        bills(mA, "r", 20);
        AttemptId raised = mFleet.bill(mA, "r101", 4);
        bills(mA, "s", 4);
        mFleet.kill(mA);
        VmId b = mFleet.start("b", 1);
        mFleet.mTime.runFor(MINUTE_MS);

        AttemptId more = mFleet.bill(b, "r100", 7);
        AttemptId less = mFleet.bill(b, "r101", 3);
        mFleet.submitBill(b, mFleet.mBills.get(raised));
        mFleet.mTime.runFor(MINUTE_MS);

        assertThat(mFleet.chargedTokens(more)).isEqualTo(6);
        assertThat(mFleet.billOutcome(less)).contains(BillOutcome.DUPLICATE);
        assertThat(mFleet.chargedTokens(raised)).isEqualTo(3);
        assertThat(mFleet.audit().sum().tokens()).isEqualTo(mFleet.settledTokens());
    }

    @Test
    void vm_that_was_paused_during_a_truncation_restarts_from_the_checkpoint() {
        VmId b = mFleet.start("b", 1);
        mFleet.setLiveMembers(mA, mA);
        mFleet.setLiveMembers(b, b);
        mFleet.bill(b, "r0", 1);
        mFleet.mTime.runFor(1_000);
        mFleet.mVms.pause(b);
        bills(mA, "s", 20);
        mFleet.mVms.resume(b);
        AttemptId late = mFleet.bill(b, "s100", 1);
        mFleet.mTime.runFor(MINUTE_MS);

        assertThat(mFleet.billOutcome(late)).contains(BillOutcome.DUPLICATE);
    }

    @Test
    void lost_replies_and_two_owners_do_not_corrupt_checkpoints() {
        mFleet.mPlatform.setLossRates(0.05, 0.05);
        VmId b = mFleet.start("b", 1);
        mFleet.setLiveMembers(mA, mA);
        mFleet.setLiveMembers(b, b);
        for (int i = 0; i < 180; i++) {
            mFleet.bill(mA, "r" + i, 1);
            mFleet.bill(b, "r" + i, 1);
            mFleet.mTime.runFor(10_000);
        }
        mFleet.mTime.runFor(MINUTE_MS);

        assertThat(mFleet.mBillReplies).hasSize(360);
        assertThat(mFleet.billedAttempts()).hasSize(180);
        assertThat(stored("requests/0/").size()).isLessThan(60);
    }

    /** Bills six requests a minute. */
    private void bills(VmId vm, String prefix, int minutes) {
        for (int i = 0; i < 6 * minutes; i++) {
            mFleet.bill(vm, prefix + i, 1);
            mFleet.mTime.runFor(10_000);
        }
    }

    private List<StoredObject> stored(String prefix) {
        List<StoredObject> objects = new ArrayList<>();
        mFleet.mPlatform
                .store()
                .submit(
                        0,
                        new PlatformCall.ListObjects(prefix, "", 100_000),
                        (t, reply) -> objects.addAll(((PlatformReply.Listed) reply).objects()));
        return objects;
    }

    private static LedgerSettings settings(Retention retention) {
        LedgerSettings one = LedgerFleet.settings(1);
        return new LedgerSettings(1, retention, one.commit(), one.backlog(), one.claimWaitMs());
    }
}
