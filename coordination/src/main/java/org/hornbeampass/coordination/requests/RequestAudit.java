package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.log.ShardLog;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.OpenClaim;
import org.hornbeampass.state.requests.RequestAuditReport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Reads all bills and claims from the platform's records alone, shard by shard and page by page.
 *
 * <p>Needs no router. The audit holds at one time the state of one shard, one page of its log, the
 * totals, and a bounded list of open claims. Records that are written during the run may or may not
 * be included; the result for each shard is exact for one position in its log. Each instance serves
 * one run at a time. Not thread-safe, except that each step starts when the previous one's reply
 * has arrived.
 */
public final class RequestAudit {
    private static final int PAGE_BATCHES = 8;
    private static final int MAX_RESTARTS = 5;
    private static final int MAX_FINDINGS = 100;

    private final Platform mPlatform;
    private final LedgerSettings mSettings;
    private final int mMaxOpenClaims;
    private final Map<BudgetKey, BudgetTotals> mTotals = new HashMap<>();
    private final List<OpenClaim> mOpenClaims = new ArrayList<>();
    private final List<String> mFindings = new ArrayList<>();
    private long mMoreOpenClaims;
    private long mRememberedIds;
    private int mRestarts;

    /**
     * Creates an audit.
     *
     * @param platform the platform that stores the records
     * @param settings the settings with which the records were written
     * @param maxOpenClaims the most open claims that are listed
     */
    public RequestAudit(Platform platform, LedgerSettings settings, int maxOpenClaims) {
        mPlatform = platform;
        mSettings = settings;
        mMaxOpenClaims = maxOpenClaims;
    }

    /**
     * Reads every shard.
     *
     * @param nowMs the present time in milliseconds
     * @param done called with the time in milliseconds and the report, or with the reason why the
     *     records could not be read
     */
    public void run(long nowMs, BiConsumer<Long, Either<Failure, RequestAuditReport>> done) {
        readShard(nowMs, 0, done);
    }

    private void readShard(
            long nowMs, int shard, BiConsumer<Long, Either<Failure, RequestAuditReport>> done) {
        if (shard == mSettings.shards()) {
            done.accept(nowMs, Either.right(report()));
            return;
        }
        new CheckpointLoader(
                        mPlatform,
                        new CheckpointKeys(shard),
                        mSettings.retention(),
                        (atMs, loaded) ->
                                loaded.peek(state -> readNextPage(atMs, shard, state, done))
                                        .peekLeft(f -> restartShard(atMs, shard, f, done)))
                .start(nowMs);
    }

    private void readNextPage(
            long nowMs,
            int shard,
            ShardState state,
            BiConsumer<Long, Either<Failure, RequestAuditReport>> done) {
        new ShardLog(mPlatform, ShardReplica.LOG_PREFIX + shard)
                .read(
                        nowMs,
                        state.nextSequence(),
                        PAGE_BATCHES,
                        (atMs, page) ->
                                page.peek(batches -> onPageRead(atMs, shard, state, batches, done))
                                        .peekLeft(f -> restartShard(atMs, shard, f, done)));
    }

    private void onPageRead(
            long nowMs,
            int shard,
            ShardState state,
            List<LogBatch> batches,
            BiConsumer<Long, Either<Failure, RequestAuditReport>> done) {
        for (LogBatch batch : batches) {
            checkBatch(shard, batch);
            state.apply(batch);
        }
        if (!batches.isEmpty()) {
            readNextPage(nowMs, shard, state, done);
            return;
        }
        addShard(state);
        mRestarts = 0;
        readShard(nowMs, shard + 1, done);
    }

    /**
     * Reads the shard again from its checkpoint, since its log may have been truncated while it was
     * read.
     */
    private void restartShard(
            long nowMs,
            int shard,
            Failure failure,
            BiConsumer<Long, Either<Failure, RequestAuditReport>> done) {
        mRestarts++;
        if (failure.kind() == ErrorKind.INTERNAL || mRestarts > MAX_RESTARTS) {
            String message = "shard " + shard + ": " + failure.message();
            done.accept(nowMs, Either.left(Failure.of(failure.kind(), message)));
            return;
        }
        readShard(nowMs, shard, done);
    }

    private void checkBatch(int shard, LogBatch batch) {
        for (String text : batch.entries()) {
            if (EntryCodec.decodeTime(text).isPresent()) {
                continue;
            }
            Either<Failure, RequestEntry> entry = EntryCodec.decode(text);
            if (entry.isLeft()) {
                addFinding(shard, batch, entry.getLeft().message());
                continue;
            }
            RequestEntry decoded = entry.get();
            int expected =
                    RequestFingerprint.shard(
                            decoded.key().organisation(),
                            decoded.key().request(),
                            mSettings.shards());
            if (expected != shard) {
                addFinding(
                        shard,
                        batch,
                        "found an entry of shard "
                                + expected
                                + "; was the number of shards changed?");
            }
        }
    }

    private void addFinding(int shard, LogBatch batch, String problem) {
        if (mFindings.size() < MAX_FINDINGS) {
            mFindings.add("shard " + shard + ", batch " + batch.sequence() + ": " + problem);
        }
    }

    private void addShard(ShardState state) {
        state.totals().forEach((key, totals) -> mTotals.merge(key, totals, BudgetTotals::plus));
        mRememberedIds += state.bills().size();
        for (ClaimTable.HeldClaim held : state.claims().heldClaims()) {
            if (held.outcome().isPresent()) {
                continue;
            }
            if (mOpenClaims.size() >= mMaxOpenClaims) {
                mMoreOpenClaims++;
                continue;
            }
            mOpenClaims.add(new OpenClaim(held.key(), held.attempt(), held.claimedAtMs()));
        }
    }

    private RequestAuditReport report() {
        return new RequestAuditReport(
                mTotals, mOpenClaims, mMoreOpenClaims, mRememberedIds, mFindings);
    }
}
