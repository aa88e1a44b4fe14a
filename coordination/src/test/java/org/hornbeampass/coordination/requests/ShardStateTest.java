package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.requests.EntryDecision.Kind;
import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.coordination.requests.RequestEntry.OutcomeEntry;
import org.hornbeampass.coordination.requests.RequestEntry.WithdrawEntry;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.junit.jupiter.api.Test;

/** Checks the decision on each entry, depending on the entries that were applied before it. */
class ShardStateTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long START_MS = 1_764_700_000_000L;
    private static final AttemptId ONE = new AttemptId(new VmId("a", 1), 1);
    private static final AttemptId TWO = new AttemptId(new VmId("b", 1), 1);
    private static final AttemptId THREE = new AttemptId(new VmId("c", 1), 1);

    private final ShardState mState = new ShardState(Retention.standard());

    @Test
    void resent_bill_is_billed_once_and_that_of_another_attempt_is_a_duplicate() {
        applyBatchAt(START_MS);

        assertThat(bill("r", ONE, START_MS)).isEqualTo(Kind.BILLED);
        assertThat(bill("r", ONE, START_MS)).isEqualTo(Kind.BILLED);
        assertThat(bill("r", TWO, START_MS)).isEqualTo(Kind.DUPLICATE);
        assertThat(bill("r", TWO, START_MS)).isEqualTo(Kind.DUPLICATE);
        assertThat(mState.totals())
                .containsEntry(
                        new BudgetKey(LedgerFleet.ORGANISATION, LedgerFleet.BUDGET),
                        new BudgetTotals(1, 3, 1, 3, 0, 0));
    }

    @Test
    void larger_bill_charges_the_difference_and_is_decided_alike_when_resent() {
        applyBatchAt(START_MS);
        bill("r", ONE, START_MS);

        EntryDecision raised = mState.apply(billEntry("r", TWO, 7));
        EntryDecision again = mState.apply(billEntry("r", TWO, 7));
        EntryDecision first = mState.apply(billEntry("r", ONE, 2));
        EntryDecision less = mState.apply(billEntry("r", THREE, 6));

        assertThat(raised).isEqualTo(EntryDecision.ofBill(Kind.RAISED, 1, 5));
        assertThat(again).isEqualTo(raised);
        assertThat(mState.finalDecision(billEntry("r", TWO, 7))).contains(raised);
        assertThat(first).isEqualTo(EntryDecision.ofBill(Kind.BILLED, 1, 3));
        assertThat(less).isEqualTo(EntryDecision.ofBill(Kind.DUPLICATE, 2, 0));
        assertThat(mState.totals().values()).containsExactly(new BudgetTotals(1, 8, 2, 10, 0, 0));
    }

    @Test
    void raise_on_another_budget_is_charged_to_that_budget() {
        applyBatchAt(START_MS);
        bill("r", ONE, START_MS);
        BudgetId other = new BudgetId("other");

        mState.apply(
                new BillEntry(new Bill(LedgerFleet.key("r", "body"), other, TWO, 1, 7, START_MS)));

        assertThat(mState.totals())
                .containsEntry(
                        new BudgetKey(LedgerFleet.ORGANISATION, other),
                        new BudgetTotals(0, 5, 1, 3, 0, 0));
    }

    @Test
    void same_id_with_another_body_is_another_repeatable_request() {
        applyBatchAt(START_MS);

        assertThat(mState.apply(billEntry("r", "body 1", ONE, START_MS)).kind())
                .isEqualTo(Kind.BILLED);
        assertThat(mState.apply(billEntry("r", "body 2", TWO, START_MS)).kind())
                .isEqualTo(Kind.BILLED);
    }

    @Test
    void bill_is_remembered_for_the_whole_retention_time_and_forgotten_after_it() {
        applyBatchAt(START_MS);
        bill("r", ONE, START_MS);
        long nowMs = applyBatchesFor(START_MS, 2 * HOUR_MS);
        assertThat(bill("r", TWO, nowMs)).isEqualTo(Kind.DUPLICATE);

        nowMs = applyBatchesFor(nowMs, 3 * HOUR_MS);

        assertThat(bill("r", THREE, nowMs)).isEqualTo(Kind.BILLED);
    }

    @Test
    void bill_that_can_not_be_distinguished_from_a_repeated_one_is_late() {
        applyBatchAt(START_MS);
        bill("other", ONE, START_MS);
        applyBatchesFor(START_MS, HOUR_MS + 60_000);

        assertThat(bill("r", TWO, START_MS)).isEqualTo(Kind.LATE);
        assertThat(bill("r", TWO, START_MS)).isEqualTo(Kind.LATE);
        assertThat(mState.totals().values()).containsExactly(new BudgetTotals(1, 3, 0, 0, 1, 3));
    }

    @Test
    void bill_that_waited_during_a_long_outage_is_not_late() {
        applyBatchAt(START_MS);
        bill("other", ONE, START_MS);
        applyBatchAt(START_MS + 10 * HOUR_MS);

        assertThat(bill("r", TWO, START_MS + 1_000)).isEqualTo(Kind.BILLED);
    }

    @Test
    void decision_that_a_claim_is_held_is_not_final_since_it_may_be_withdrawn() {
        applyBatchAt(START_MS);
        claim("c", "body", ONE);
        ClaimEntry retry = claimEntry("c", "body", TWO);

        assertThat(mState.finalDecision(retry)).isEmpty();
        assertThat(mState.apply(retry).kind()).isEqualTo(Kind.HELD);
        mState.apply(new WithdrawEntry(LedgerFleet.key("c", "body"), ONE, START_MS));
        assertThat(mState.apply(retry).kind()).isEqualTo(Kind.GRANTED);
    }

    @Test
    void claim_that_is_applied_after_its_withdrawal_is_not_granted() {
        applyBatchAt(START_MS);
        mState.apply(new WithdrawEntry(LedgerFleet.key("c", "body"), ONE, START_MS));

        assertThat(claim("c", "body", ONE)).isEqualTo(Kind.WITHDRAWN);
        assertThat(claim("c", "body", TWO)).isEqualTo(Kind.GRANTED);
    }

    @Test
    void outcome_is_recorded_only_for_the_holder_of_the_claim() {
        applyBatchAt(START_MS);
        claim("c", "body", ONE);

        assertThat(outcome("c", TWO)).isEqualTo(Kind.NOT_HELD);
        assertThat(outcome("c", ONE)).isEqualTo(Kind.DONE);
        assertThat(claim("c", "body", TWO)).isEqualTo(Kind.RECORDED);
        assertThat(claim("c", "other", TWO)).isEqualTo(Kind.KEY_REUSED);
    }

    @Test
    void claim_whose_key_has_a_timestamp_is_rejected_once_it_may_be_forgotten() {
        applyBatchAt(START_MS);
        assertThat(claim("c@" + START_MS, "body", ONE)).isEqualTo(Kind.GRANTED);
        long nowMs = applyBatchesFor(START_MS, HOUR_MS);
        assertThat(claim("c@" + START_MS, "body", TWO)).isEqualTo(Kind.HELD);

        applyBatchesFor(nowMs, HOUR_MS);

        assertThat(claim("c@" + START_MS, "body", THREE)).isEqualTo(Kind.EXPIRED);
    }

    @Test
    void claim_whose_key_has_no_timestamp_is_never_forgotten() {
        applyBatchAt(START_MS);
        claim("release-1", "body", ONE);
        applyBatchesFor(START_MS, 48 * HOUR_MS);

        assertThat(claim("release-1", "body", TWO)).isEqualTo(Kind.HELD);
    }

    @Test
    void claims_without_a_timestamp_are_bounded() {
        ShardState small = new ShardState(new Retention(HOUR_MS, HOUR_MS, 0, 500, 3));
        small.beginBatch(START_MS);
        Kind last = Kind.GRANTED;
        for (int i = 0; i < 10; i++) {
            last = small.apply(claimEntry("c" + i, "body", new AttemptId(ONE.vm(), i))).kind();
        }

        assertThat(last).isEqualTo(Kind.FULL);
    }

    private void applyBatchAt(long nowMs) {
        mState.beginBatch(nowMs);
        mState.endBatch();
    }

    /**
     * Advances the log by a batch every half minute; returns the time of the end in milliseconds.
     */
    private long applyBatchesFor(long fromMs, long durationMs) {
        for (long t = fromMs; t <= fromMs + durationMs; t += 30_000) {
            applyBatchAt(t);
        }
        return fromMs + durationMs;
    }

    private Kind bill(String id, AttemptId attempt, long admittedAtMs) {
        return mState.apply(billEntry(id, "body", attempt, admittedAtMs)).kind();
    }

    private static BillEntry billEntry(String id, AttemptId attempt, long completion) {
        return new BillEntry(
                new Bill(
                        LedgerFleet.key(id, "body"),
                        LedgerFleet.BUDGET,
                        attempt,
                        1,
                        completion,
                        START_MS));
    }

    private static BillEntry billEntry(
            String id, String body, AttemptId attempt, long admittedAtMs) {
        return new BillEntry(
                new Bill(
                        LedgerFleet.key(id, body),
                        LedgerFleet.BUDGET,
                        attempt,
                        1,
                        2,
                        admittedAtMs));
    }

    private Kind claim(String id, String body, AttemptId attempt) {
        return mState.apply(claimEntry(id, body, attempt)).kind();
    }

    private ClaimEntry claimEntry(String id, String body, AttemptId attempt) {
        long nowMs = Math.max(START_MS, mState.clock().timeMs());
        return new ClaimEntry(new Claim(LedgerFleet.key(id, body), attempt, nowMs));
    }

    private Kind outcome(String id, AttemptId attempt) {
        CallOutcome outcome =
                new CallOutcome(LedgerFleet.key(id, "body"), attempt, 200, "text/plain", "ok");
        return mState.apply(new OutcomeEntry(outcome)).kind();
    }
}
