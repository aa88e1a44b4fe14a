package org.hornbeampass.experiment.run;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.requests.BillPage;
import org.hornbeampass.coordination.requests.BillReader;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.requests.RequestAudit;
import org.hornbeampass.experiment.fleet.Operator;
import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.LedgerRecord;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.RequestAuditReport;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Reads the platform's objects directly, past all routers and faults.
 *
 * <p>Long reads run step by step on a thread of its own, since a platform in memory replies within
 * the call and each step would stand on the stack of the one before. Thread-safe.
 */
final class PlatformReader implements AutoCloseable {
    private static final int MAX_BILLS = 10_000_000;
    private static final String CONFIG_LOG = "config/log/";
    private static final int PAGE = 1_000;

    private final Platform mObjects;
    private final Platform mUnstacked;
    private final ExecutorService mThread = Executors.newSingleThreadExecutor();

    PlatformReader(Platform objects) {
        mObjects = objects;
        mUnstacked =
                (nowMs, call, done) -> mThread.execute(() -> objects.submit(nowMs, call, done));
    }

    /** Returns a look at an organisation's budget; empty while nothing was paid. */
    Optional<BudgetSample> budget(long nowMs, String organisation) {
        PlatformReply reply = call(new PlatformCall.Get("budgets/" + organisation));
        if (!(reply instanceof PlatformReply.Found found)) {
            return Optional.empty();
        }
        BudgetRecord record =
                Json.decode(found.object().value(), LedgerRecord.class)
                        .getOrElseThrow(f -> new IllegalStateException(f.message()))
                        .budget(new BudgetId(Operator.BUDGET));
        return Optional.of(
                new BudgetSample(
                        nowMs,
                        organisation,
                        record.paid(),
                        record.drawn(),
                        record.target().orElse(record.paid())));
    }

    /** Returns the newest accepted revision that is after another; that other where none is. */
    long revisionAfter(long revision) {
        String after = CONFIG_LOG + String.format(java.util.Locale.ROOT, "%012d", revision);
        PlatformReply reply = call(new PlatformCall.ListObjects(CONFIG_LOG, after, PAGE));
        long newest = revision;
        if (reply instanceof PlatformReply.Listed listed) {
            for (PlatformReply.StoredObject object : listed.objects()) {
                String number = object.key().substring(CONFIG_LOG.length());
                if (number.matches("\\d{12}")) {
                    newest = Math.max(newest, Long.parseLong(number));
                }
            }
        }
        return newest;
    }

    private PlatformReply call(PlatformCall call) {
        CompletableFuture<PlatformReply> reply = new CompletableFuture<>();
        mObjects.submit(0, call, (at, r) -> reply.complete(r));
        return reply.join();
    }

    /** Returns an organisation's bills that stand. */
    List<Bill> bills(String organisation) {
        CompletableFuture<Either<Failure, BillPage>> page = new CompletableFuture<>();
        new BillReader(
                        mUnstacked,
                        LedgerSettings.standard(),
                        new OrganisationId(organisation),
                        Optional.empty(),
                        MAX_BILLS)
                .run(0, (at, read) -> page.complete(read));
        return page.join()
                .getOrElseThrow(f -> new IllegalStateException("bills: " + f.message()))
                .bills();
    }

    /** Returns the tokens of all bills by the records' own totals. */
    long billedTokens() {
        CompletableFuture<Either<Failure, RequestAuditReport>> report = new CompletableFuture<>();
        new RequestAudit(mUnstacked, LedgerSettings.standard(), 1)
                .run(0, (at, read) -> report.complete(read));
        return report.join()
                .getOrElseThrow(f -> new IllegalStateException("audit: " + f.message()))
                .sum()
                .tokens();
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }
}
