package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.requests.BillPage;
import org.hornbeampass.coordination.requests.BillReader;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.requests.RequestAudit;
import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.BillView;
import org.hornbeampass.protocol.admin.UsageLine;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.RequestAuditReport;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Reads bills from the platform's records. While the platform is unavailable, usage is reported
 * from the totals that were last read, with their age.
 *
 * <p>Each read covers every shard of the request log. Thread-safe: {@link LastReadCache} guards the
 * stored totals, and callbacks run with no lock held.
 */
public final class RecordedBilling implements BillingPort {
    private static final int MAX_OPEN_CLAIMS = 100;
    private static final String ALL = "all";

    private final Platform mPlatform;
    private final LedgerSettings mSettings;
    private final LedgerAudit mLedgers;
    private final LastReadCache<String, RequestAuditReport> mLastReads = new LastReadCache<>();

    /**
     * Creates the port.
     *
     * @param platform the platform that stores the records
     * @param settings the settings with which the records are written
     * @param ledgers checks the budgets' ledgers
     */
    public RecordedBilling(Platform platform, LedgerSettings settings, LedgerAudit ledgers) {
        mPlatform = platform;
        mSettings = settings;
        mLedgers = ledgers;
    }

    @Override
    public void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done) {
        new BillReader(mPlatform, mSettings, organisation, after, limit)
                .run(nowMs, (atMs, page) -> done.accept(atMs, page.map(RecordedBilling::list)));
    }

    @Override
    public void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done) {
        readTotals(
                nowMs,
                (atMs, report) ->
                        done.accept(
                                atMs,
                                report.map(
                                        r ->
                                                new Aged<>(
                                                        usage(organisation, r.value()),
                                                        r.ageMs()))));
    }

    @Override
    public void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done) {
        new RequestAudit(mPlatform, mSettings, MAX_OPEN_CLAIMS)
                .run(
                        nowMs,
                        (atMs, report) -> {
                            if (report.isLeft()) {
                                done.accept(atMs, Either.left(report.getLeft()));
                                return;
                            }
                            mLedgers.run(
                                    atMs,
                                    report.get(),
                                    (laterMs, view) -> done.accept(laterMs, view.map(Aged::fresh)));
                        });
    }

    private void readTotals(
            long nowMs, BiConsumer<Long, Either<Failure, Aged<RequestAuditReport>>> done) {
        new RequestAudit(mPlatform, mSettings, MAX_OPEN_CLAIMS)
                .run(nowMs, (atMs, report) -> done.accept(atMs, currentOrLast(atMs, report)));
    }

    private Either<Failure, Aged<RequestAuditReport>> currentOrLast(
            long nowMs, Either<Failure, RequestAuditReport> report) {
        if (report.isRight()) {
            mLastReads.keep(nowMs, ALL, report.get());
            return Either.right(Aged.fresh(report.get()));
        }
        Optional<Aged<RequestAuditReport>> last =
                report.getLeft().kind() == ErrorKind.PLATFORM_UNAVAILABLE
                        ? mLastReads.find(nowMs, ALL)
                        : Optional.empty();
        return last.<Either<Failure, Aged<RequestAuditReport>>>map(Either::right)
                .orElseGet(() -> Either.left(report.getLeft()));
    }

    private static UsageView usage(OrganisationId organisation, RequestAuditReport report) {
        List<UsageLine> lines =
                report.totals().entrySet().stream()
                        .filter(e -> e.getKey().organisation().equals(organisation))
                        .sorted(Map.Entry.comparingByKey(Comparator.comparing(BudgetKey::budget)))
                        .map(e -> line(e.getKey(), e.getValue()))
                        .toList();
        return new UsageView(organisation, lines);
    }

    private static UsageLine line(BudgetKey key, BudgetTotals totals) {
        return new UsageLine(
                key.budget(),
                totals.bills(),
                totals.tokens(),
                totals.duplicates(),
                totals.duplicateTokens(),
                totals.late(),
                totals.lateTokens());
    }

    private static Aged<BillList> list(BillPage page) {
        return Aged.fresh(
                new BillList(
                        page.bills().stream().map(RecordedBilling::view).toList(), page.next()));
    }

    private static BillView view(Bill bill) {
        return new BillView(
                bill.key().organisation(),
                bill.key().request(),
                bill.budget(),
                bill.attempt().vm() + "/" + bill.attempt().number(),
                bill.promptTokens(),
                bill.completionTokens(),
                bill.admittedAtMs());
    }
}
