package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.log.ShardLog;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.RequestKey;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Reads an organisation's most recent bills, without duplicates, from the platform's records alone:
 * those since the last checkpoint of each shard. Older bills are only contained in the totals of
 * {@link RequestAudit}.
 *
 * <p>A raised bill is one line with the raised amount. It is listed by the admission time of the
 * request's first attempt, if that bill is since the checkpoint. The reader holds at one time the
 * state of one shard, the organisation's bills in that shard's log, one page of that log and one
 * page of bills. Each instance serves one run; each step starts when the previous one's reply has
 * arrived, so no lock is needed.
 */
public final class BillReader {
    private static final int PAGE_BATCHES = 8;
    private static final int MAX_RESTARTS = 5;

    private final Platform mPlatform;
    private final LedgerSettings mSettings;
    private final OrganisationId mOrganisation;
    private final String mAfter;
    private final int mLimit;
    private final TreeMap<String, Bill> mPage = new TreeMap<>();
    private final Map<RequestKey, Bill> mFirstBills = new HashMap<>();
    private int mRestarts;

    /**
     * Creates a reader for one page.
     *
     * @param platform the platform that stores the records
     * @param settings the settings with which the records were written
     * @param organisation the organisation whose bills are read
     * @param after where the page starts, taken from the previous page; empty for the first page
     * @param limit the largest number of bills on the page
     */
    public BillReader(
            Platform platform,
            LedgerSettings settings,
            OrganisationId organisation,
            Optional<String> after,
            int limit) {
        mPlatform = platform;
        mSettings = settings;
        mOrganisation = organisation;
        mAfter = after.orElse("");
        mLimit = limit;
    }

    /**
     * Reads every shard and calls {@code done} once, with the time in milliseconds and the page or
     * the failure.
     */
    public void run(long nowMs, BiConsumer<Long, Either<Failure, BillPage>> done) {
        readShard(nowMs, 0, done);
    }

    private void readShard(
            long nowMs, int shard, BiConsumer<Long, Either<Failure, BillPage>> done) {
        if (shard == mSettings.shards()) {
            done.accept(nowMs, Either.right(page()));
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
            BiConsumer<Long, Either<Failure, BillPage>> done) {
        new ShardLog(mPlatform, ShardReplica.LOG_PREFIX + shard)
                .read(
                        nowMs,
                        state.nextSequence(),
                        PAGE_BATCHES,
                        (atMs, page) ->
                                page.peek(batches -> collect(atMs, shard, state, batches, done))
                                        .peekLeft(f -> restartShard(atMs, shard, f, done)));
    }

    private void collect(
            long nowMs,
            int shard,
            ShardState state,
            List<LogBatch> batches,
            BiConsumer<Long, Either<Failure, BillPage>> done) {
        if (batches.isEmpty()) {
            mRestarts = 0;
            mFirstBills.clear();
            readShard(nowMs, shard + 1, done);
            return;
        }
        for (LogBatch batch : batches) {
            Iterator<EntryDecision> decisions = state.apply(batch).iterator();
            for (String text : batch.entries()) {
                if (EntryCodec.decodeTime(text).isEmpty()) {
                    EntryCodec.decode(text).peek(entry -> collect(entry, decisions.next()));
                }
            }
        }
        readNextPage(nowMs, shard, state, done);
    }

    private void collect(RequestEntry entry, EntryDecision decision) {
        boolean charged =
                decision.kind() == EntryDecision.Kind.BILLED
                        || decision.kind() == EntryDecision.Kind.RAISED;
        if (!charged
                || !(entry instanceof RequestEntry.BillEntry billEntry)
                || !billEntry.key().organisation().equals(mOrganisation)) {
            return;
        }
        Bill first = mFirstBills.computeIfAbsent(billEntry.key(), k -> billEntry.bill());
        Bill bill = withRaisedAmount(first, billEntry.bill());
        String key = sortKey(bill);
        if (key.compareTo(mAfter) <= 0) {
            return;
        }
        mPage.merge(key, bill, (before, now) -> now.tokens() > before.tokens() ? now : before);
        if (mPage.size() > mLimit + 1) {
            mPage.pollLastEntry();
        }
    }

    /** Returns the raised bill with the budget and the admission time of the first one. */
    private static Bill withRaisedAmount(Bill first, Bill raised) {
        return new Bill(
                first.key(),
                first.budget(),
                raised.attempt(),
                raised.promptTokens(),
                raised.completionTokens(),
                first.admittedAtMs());
    }

    /** Returns a key by which bills sort in the order of their admission. */
    private static String sortKey(Bill bill) {
        return String.format(
                java.util.Locale.ROOT,
                "%019d~%s~%s",
                bill.admittedAtMs(),
                bill.key().request(),
                bill.key().bodyDigest());
    }

    private BillPage page() {
        boolean last = mPage.size() <= mLimit;
        if (!last) {
            mPage.pollLastEntry();
        }
        return new BillPage(
                List.copyOf(mPage.values()),
                last ? Optional.empty() : Optional.of(mPage.lastKey()));
    }

    /**
     * Reads the shard again from its checkpoint, since its log may have been truncated while it was
     * read.
     */
    private void restartShard(
            long nowMs,
            int shard,
            Failure failure,
            BiConsumer<Long, Either<Failure, BillPage>> done) {
        mRestarts++;
        if (failure.kind() == ErrorKind.INTERNAL || mRestarts > MAX_RESTARTS) {
            String message = "shard " + shard + ": " + failure.message();
            done.accept(nowMs, Either.left(Failure.of(failure.kind(), message)));
            return;
        }
        readShard(nowMs, shard, done);
    }
}
