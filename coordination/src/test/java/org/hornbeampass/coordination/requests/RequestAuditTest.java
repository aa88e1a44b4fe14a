package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.log.ShardLog;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.RequestAuditReport;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Checks that an audit finds all bills and claims in the platform's records alone, and reports
 * invalid records.
 */
class RequestAuditTest {
    private static final BudgetKey BUDGET =
            new BudgetKey(LedgerFleet.ORGANISATION, LedgerFleet.BUDGET);

    private final LedgerFleet mFleet = new LedgerFleet(5, LedgerFleet.settings(2));
    private final VmId mA = mFleet.start("a", 1);
    private final VmId mB = mFleet.start("b", 1);

    @Test
    void bills_duplicates_and_open_claims_are_read_from_the_records() {
        mFleet.bill(mA, "r1", 10);
        mFleet.bill(mA, "r2", 20);
        AttemptId open = mFleet.claim(mA, "release-1", "mould 7");
        AttemptId done = mFleet.claim(mA, "release-2", "mould 8");
        mFleet.mTime.runFor(2_000);
        mFleet.bill(mB, "r1", 12);
        mFleet.bill(mB, "r2", 15);
        mFleet.recordOutcome(done, "released");
        mFleet.mTime.runFor(2_000);

        RequestAuditReport report = audit().get();

        assertThat(report.sum().tokens()).isEqualTo(mFleet.settledTokens());
        assertThat(report.totals()).containsOnly(entry(new BudgetTotals(2, 32, 2, 25, 0, 0)));
        assertThat(report.openClaims()).hasSize(1);
        assertThat(report.openClaims().get(0).attempt()).isEqualTo(open);
        assertThat(report.findings()).isEmpty();
    }

    @Test
    void entry_in_the_wrong_shard_is_reported() {
        BatchWriter writer = new BatchWriter();
        writer.append("requests/0", "r1");
        writer.append("requests/1", "r1");

        assertThat(audit().get().findings()).hasSize(1).first().asString().contains("of shard");
    }

    @Test
    void entry_of_unknown_kind_is_reported() {
        new BatchWriter().append("requests/0", List.of("T1", "X[]"));

        assertThat(audit().get().findings()).hasSize(1).first().asString().contains("unknown kind");
    }

    @Test
    void platform_that_does_not_answer_fails_the_audit() {
        mFleet.mPlatform.setOutage(true);

        assertThat(audit().getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    }

    private static Map.Entry<BudgetKey, BudgetTotals> entry(BudgetTotals totals) {
        return Map.entry(BUDGET, totals);
    }

    private Either<Failure, RequestAuditReport> audit() {
        AtomicReference<Either<Failure, RequestAuditReport>> result = new AtomicReference<>();
        new RequestAudit(mFleet.mPlatform.connect(mA), LedgerFleet.settings(2), 10)
                .run(mFleet.mTime.nowMs(), (t, r) -> result.set(r));
        mFleet.mTime.runFor(60_000);
        return result.get();
    }

    /** Writes valid batches, and ones that no router should write. */
    private final class BatchWriter {
        private void append(String prefix, String id) {
            AttemptId attempt = mFleet.newAttempt(mA);
            String text =
                    EntryCodec.encode(
                            new RequestEntry.WithdrawEntry(
                                    LedgerFleet.key(id, "body"), attempt, 1));
            append(prefix, List.of("T1", text));
        }

        private void append(String prefix, List<String> entries) {
            new ShardLog(mFleet.mPlatform.store(), prefix)
                    .tryAppend(0, 0, new LogBatch(0, mA, 0, entries), (t, r) -> {});
        }
    }
}
