package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.BillCharge;
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** Checks the decisions on bills and claims under faults of VMs, network and platform. */
class RequestLedgerTest {
    private final LedgerFleet mFleet = new LedgerFleet(1, LedgerFleet.settings(2));
    private final VmId mA = mFleet.start("a", 1);
    private final VmId mB = mFleet.start("b", 1);
    private final VmId mC = mFleet.start("c", 1);

    @Test
    void first_bill_is_charged_and_a_retry_elsewhere_is_a_duplicate() {
        AttemptId first = mFleet.bill(mA, "r1", 10);
        mFleet.mTime.runFor(2_000);
        AttemptId second = mFleet.bill(mB, "r1", 10);
        AttemptId other = mFleet.bill(mC, "r2", 5);
        mFleet.mTime.runFor(2_000);

        assertThat(mFleet.billOutcome(first)).contains(BillOutcome.BILLED);
        assertThat(mFleet.billOutcome(second)).contains(BillOutcome.DUPLICATE);
        assertThat(mFleet.billOutcome(other)).contains(BillOutcome.BILLED);
    }

    @Test
    void larger_bill_of_a_retry_raises_the_bill_and_settles_the_difference() {
        AttemptId partial = mFleet.bill(mA, "r1", 10);
        mFleet.mTime.runFor(2_000);
        AttemptId complete = mFleet.bill(mB, "r1", 12);
        mFleet.mTime.runFor(2_000);
        AttemptId less = mFleet.bill(mC, "r1", 11);
        mFleet.mTime.runFor(2_000);

        assertThat(mFleet.mBillReplies.get(partial))
                .contains(new BillCharge(BillOutcome.BILLED, 10));
        assertThat(mFleet.mBillReplies.get(complete))
                .contains(new BillCharge(BillOutcome.RAISED, 2));
        assertThat(mFleet.mBillReplies.get(less))
                .contains(new BillCharge(BillOutcome.DUPLICATE, 0));
        assertThat(mFleet.audit().sum().tokens()).isEqualTo(12);
    }

    @Test
    void two_owners_of_one_shard_agree_on_the_raised_amount() {
        mFleet.setLiveMembers(mA, mA);
        mFleet.setLiveMembers(mB, mB);
        mFleet.setLiveMembers(mC, mC);
        mFleet.bill(mA, "r1", 10);
        mFleet.bill(mB, "r1", 30);
        mFleet.bill(mC, "r1", 20);
        mFleet.mTime.runFor(10_000);

        assertThat(mFleet.mBillReplies).hasSize(3);
        assertThat(mFleet.billedAttempts()).hasSize(1);
        assertThat(mFleet.settledTokens()).isEqualTo(30);
        assertThat(mFleet.audit().sum().tokens()).isEqualTo(30);
    }

    @Test
    void two_owners_of_one_shard_agree_on_one_bill() {
        mFleet.setLiveMembers(mA, mA);
        mFleet.setLiveMembers(mB, mB);
        mFleet.setLiveMembers(mC, mC);
        AttemptId one = mFleet.bill(mA, "r1", 10);
        AttemptId two = mFleet.bill(mB, "r1", 10);
        AttemptId three = mFleet.bill(mC, "r1", 10);
        mFleet.mTime.runFor(10_000);

        assertThat(mFleet.mBillReplies).containsOnlyKeys(one, two, three);
        assertThat(mFleet.billedAttempts()).hasSize(1);
    }

    @Test
    void bills_survive_a_platform_outage_in_memory() {
        mFleet.mPlatform.setOutage(true);
        AttemptId one = mFleet.bill(mA, "r1", 10);
        AttemptId two = mFleet.bill(mB, "r2", 10);
        mFleet.mTime.runFor(600_000);
        assertThat(mFleet.mBillReplies).isEmpty();

        mFleet.mPlatform.setOutage(false);
        mFleet.mTime.runFor(30_000);

        assertThat(mFleet.billedAttempts()).containsExactlyInAnyOrder(one, two);
    }

    @Test
    void vm_isolated_from_its_peers_appends_to_the_log_itself() {
        mFleet.mPeers.cut("a", "b");
        mFleet.mPeers.cut("a", "c");
        mFleet.mPeers.cut("b", "c");
        AttemptId one = mFleet.bill(mA, "r1", 10);
        AttemptId two = mFleet.bill(mB, "r2", 10);
        AttemptId three = mFleet.bill(mC, "r3", 10);
        mFleet.mTime.runFor(30_000);

        assertThat(mFleet.billedAttempts()).containsExactlyInAnyOrder(one, two, three);
    }

    @Test
    void vm_isolated_from_the_owners_bills_within_the_time_that_routers_wait() {
        long routersWaitMs = 2_000;
        mFleet.mPeers.cut("a", "b");
        mFleet.mPeers.cut("a", "c");
        List<AttemptId> bills = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            bills.add(mFleet.bill(mA, "r" + i, 10));
        }
        mFleet.mTime.runFor(routersWaitMs);

        assertThat(mFleet.billedAttempts()).containsExactlyInAnyOrderElementsOf(bills);
    }

    @Test
    void vm_isolated_from_the_platform_bills_through_its_peers() {
        mFleet.mTime.runFor(1_000);
        mFleet.mPlatform.cut(mA);
        AttemptId one = mFleet.bill(mA, "r1", 10);
        AttemptId two = mFleet.bill(mA, "r2", 10);
        AttemptId three = mFleet.bill(mA, "r3", 10);
        mFleet.setLiveMembers(mA, mB, mC);
        mFleet.setLiveMembers(mB, mB, mC);
        mFleet.setLiveMembers(mC, mB, mC);
        mFleet.mTime.runFor(30_000);

        assertThat(mFleet.billedAttempts()).containsExactlyInAnyOrder(one, two, three);
    }

    @Test
    void claim_is_granted_once_and_its_outcome_is_returned_to_retries() {
        AttemptId first = mFleet.claim(mA, "release-1", "mould 7");
        mFleet.mTime.runFor(1_000);
        AttemptId early = mFleet.claim(mB, "release-1", "mould 7");
        mFleet.mTime.runFor(1_000);
        AtomicReference<Boolean> recorded = mFleet.recordOutcome(first, "released");
        mFleet.mTime.runFor(1_000);
        AttemptId late = mFleet.claim(mC, "release-1", "mould 7");
        AttemptId reused = mFleet.claim(mC, "release-1", "mould 8");
        mFleet.mTime.runFor(1_000);

        assertThat(mFleet.claimStatus(first)).contains(ClaimOutcome.Status.GRANTED);
        assertThat(mFleet.claimStatus(early)).contains(ClaimOutcome.Status.RUNNING);
        assertThat(recorded).hasValue(true);
        assertThat(mFleet.mClaimReplies.get(late).get().recorded().orElseThrow().body())
                .isEqualTo("released");
        assertThat(mFleet.claimStatus(reused)).contains(ClaimOutcome.Status.KEY_REUSED);
    }

    @Test
    void claim_of_a_vm_that_is_gone_has_an_unknown_outcome() {
        AttemptId first = mFleet.claim(mA, "release-1", "mould 7");
        mFleet.mTime.runFor(1_000);
        assertThat(mFleet.claimStatus(first)).contains(ClaimOutcome.Status.GRANTED);

        mFleet.kill(mA);
        AttemptId retry = mFleet.claim(mB, "release-1", "mould 7");
        mFleet.mTime.runFor(10_000);

        assertThat(mFleet.claimStatus(retry)).contains(ClaimOutcome.Status.OUTCOME_UNKNOWN);
    }

    @Test
    void claim_answered_as_not_run_is_withdrawn_before_another_is_granted() {
        mFleet.mPlatform.setLossRates(0, 1.0);
        AttemptId first = mFleet.claim(mA, "release-1", "mould 7");
        mFleet.mTime.runFor(10_000);
        assertThat(mFleet.mClaimReplies.get(first).getLeft().kind())
                .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);

        mFleet.mPlatform.setLossRates(0, 0);
        mFleet.mTime.runFor(20_000);
        AttemptId retry = mFleet.claim(mB, "release-1", "mould 7");
        mFleet.mTime.runFor(5_000);

        assertThat(mFleet.claimStatus(retry)).contains(ClaimOutcome.Status.GRANTED);
        assertThat(mFleet.mClaimReplies.get(first).isLeft()).isTrue();
    }

    @Test
    void backlog_is_full_in_an_outage_and_empties_after_it() {
        LedgerSettings small =
                new LedgerSettings(
                        1,
                        Retention.standard(),
                        LedgerSettings.standard().commit(),
                        new LedgerSettings.Backlog(10, 1 << 20, 100),
                        1_000);
        LedgerFleet fleet = new LedgerFleet(2, small);
        VmId vm = fleet.start("a", 1);
        fleet.mPlatform.setOutage(true);
        for (int i = 0; i < 10; i++) {
            assertThat(fleet.ledger(vm).isBacklogFull()).isFalse();
            fleet.bill(vm, "r" + i, 1);
        }
        assertThat(fleet.ledger(vm).isBacklogFull()).isTrue();

        fleet.mPlatform.setOutage(false);
        fleet.mTime.runFor(10_000);

        assertThat(fleet.ledger(vm).isBacklogFull()).isFalse();
        assertThat(fleet.billedAttempts()).hasSize(10);
    }

    @Test
    void drain_ends_once_all_entries_are_durable() {
        AttemptId one = mFleet.bill(mA, "r1", 10);
        AttemptId two = mFleet.bill(mB, "r2", 10);
        AtomicLong doneMs = new AtomicLong();
        mFleet.mTime.runFor(1);
        mFleet.ledger(mA).drain(mFleet.mTime.nowMs(), doneMs::set);
        mFleet.setLiveMembers(mB, mB, mC);
        mFleet.setLiveMembers(mC, mB, mC);
        mFleet.mTime.runFor(30_000);

        assertThat(doneMs.get()).isPositive();
        assertThat(mFleet.billedAttempts()).containsExactlyInAnyOrder(one, two);
        assertThat(mFleet.ledger(mA).pendingCount()).isZero();
    }

    @Test
    void request_repeated_too_often_is_rejected_by_the_vms_that_know_of_it() {
        for (int i = 0; i < 4; i++) {
            mFleet.bill(mA, "r1", 10);
            mFleet.mTime.runFor(2_000);
        }
        long nowMs = mFleet.mTime.nowMs();

        assertThat(mFleet.ledger(mA).rejectionReason(nowMs, LedgerFleet.key("r1", "body")))
                .hasValueSatisfying(
                        f -> assertThat(f.kind()).isEqualTo(ErrorKind.IDEMPOTENCY_KEY_EXPIRED));
        assertThat(mFleet.ledger(mA).rejectionReason(nowMs, LedgerFleet.key("r1", "other")))
                .isEmpty();
        assertThat(mFleet.ledger(mB).rejectionReason(nowMs, LedgerFleet.key("r1", "body")))
                .isEmpty();
    }

    @Test
    void key_with_an_old_timestamp_is_rejected() {
        long nowMs = mFleet.mTime.nowMs();
        long tooOldMs = nowMs - Retention.standard().retryMs() - 1;

        assertThat(
                        mFleet.ledger(mA)
                                .rejectionReason(nowMs, LedgerFleet.key("r@" + tooOldMs, "body")))
                .isPresent();
        assertThat(mFleet.ledger(mA).rejectionReason(nowMs, LedgerFleet.key("r@" + nowMs, "body")))
                .isEmpty();
        AttemptId claim = mFleet.claim(mA, "r@" + tooOldMs, "body");
        mFleet.mTime.runFor(2_000);
        assertThat(mFleet.claimStatus(claim)).contains(ClaimOutcome.Status.EXPIRED);
    }
}
