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
 * Reads an organisation's newest bills that stand from the platform's records alone: those since
 * the last checkpoint of each shard; older ones are only in the totals of {@link RequestAudit}.
 *
 * <p>A raised bill is one line with the raised amount, at the place of the first attempt's
 * admission where that is since the checkpoint. What the reader holds at one time is one shard's
 * memory, the organisation's bills in one shard's log, one page of that log and one page of bills.
 * One run per instance; each step follows the reply of the last one, so it needs no lock.
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
     * Makes the reader of one page.
     *
     * @param platform the platform that keeps the records
     * @param settings the settings with which they were written
     * @param organisation whose bills
     * @param after where the page starts, from the page before
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

    /** Reads every shard; {@code done} is run once. */
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
        boolean stands =
                decision.kind() == EntryDecision.Kind.BILLED
                        || decision.kind() == EntryDecision.Kind.RAISED;
        if (!stands
                || !(entry instanceof RequestEntry.BillEntry known)
                || !known.key().organisation().equals(mOrganisation)) {
            return;
        }
        Bill first = mFirstBills.computeIfAbsent(known.key(), k -> known.bill());
        Bill bill = withRaisedAmount(first, known.bill());
        String place = sortKey(bill);
        if (place.compareTo(mAfter) <= 0) {
            return;
        }
        mPage.merge(place, bill, (before, now) -> now.tokens() > before.tokens() ? now : before);
        if (mPage.size() > mLimit + 1) {
            mPage.pollLastEntry();
        }
    }

    /** Returns a raised bill as it stands, at the place of the first. */
    private static Bill withRaisedAmount(Bill first, Bill raised) {
        return new Bill(
                first.key(),
                first.budget(),
                raised.attempt(),
                raised.promptTokens(),
                raised.completionTokens(),
                first.admittedAtMs());
    }

    /** Returns a bill's place in the order of admission. */
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

    /** Starts a shard anew where its log was truncated while it was read. */
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
