package org.hornbeampass.coordination.quarantine;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.PagedListing;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Writes quarantines to the platform's store, so that they survive restarts of the VMs, and lifts
 * those whose records operators delete.
 *
 * <p>Each VM reads the records once when it starts. Afterwards one VM, the record owner, reads and
 * writes them. If a quarantine still has no record, because the record owner may be unreachable or
 * about to stop, a VM that saw one of the crashes writes it within a second, and any other VM after
 * some seconds. So the number of calls depends on quarantines and starts of VMs rather than on the
 * number of VMs or on time. A record that is missing after the store was restored was lost with a
 * former era and is written again; only in one era was it deleted. Invariants: at most one read is
 * in progress, and at most one write for each request; no write waits for another. Confined to one
 * thread.
 */
final class QuarantineStore {
    static final String PREFIX = "quarantines/";

    /** How often the record owner reads the records while there are any, in milliseconds. */
    private static final long READ_INTERVAL_MS = 10_000;

    /** How long to wait after a call that failed, in milliseconds. */
    private static final long RETRY_DELAY_MS = 1_000;

    /**
     * How long VMs that saw one of the crashes wait for the record owner to write, in milliseconds:
     * its report that the record exists arrives within half a second.
     */
    private static final long OBSERVER_WRITE_DELAY_MS = 600;

    /** The largest random delay that these VMs add, in milliseconds. */
    private static final int OBSERVER_WRITE_JITTER_MS = 400;

    /** How long all other VMs wait for the record to be written, in milliseconds. */
    private static final long FALLBACK_WRITE_DELAY_MS = 3_000;

    /** The largest random delay that all other VMs add, in milliseconds. */
    private static final int FALLBACK_WRITE_JITTER_MS = 7_000;

    private static final int PAGE_SIZE = 500;

    private final Platform mPlatform;
    private final SuspectTable mTable;
    private final QuarantineListener mListener;
    private final BooleanSupplier mOwnsRecords;
    private final RandomGenerator mRandom;
    private final BiConsumer<Long, SuspectDigest> mOnLifted;
    private final KnownCrashesStore mKnownCrashes;
    private boolean mListedKnownCrashes;
    private final Map<SuspectDigest, Long> mWriteAtMs = new HashMap<>();
    private final Set<SuspectDigest> mListed = new HashSet<>();
    private Set<SuspectDigest> mRecordedBeforeRead = Set.of();
    private boolean mReadOnce;
    private boolean mHasRecords;
    private final Set<SuspectDigest> mWritesInProgress = new HashSet<>();
    private final PagedListing mListing = new PagedListing(PREFIX, PAGE_SIZE);
    private boolean mReadInProgress;
    private long mNextReadMs;
    private long mLastReadVersion;

    /**
     * Creates a store client that has not read the records yet.
     *
     * @param platform the store
     * @param table the suspected requests
     * @param listener notified of failed calls
     * @param ownsRecords returns whether this VM is the record owner
     * @param random adds jitter to the writes of the other VMs
     * @param onLifted receives the present time in milliseconds and a request whose record was
     *     deleted
     */
    QuarantineStore(
            Platform platform,
            SuspectTable table,
            QuarantineListener listener,
            BooleanSupplier ownsRecords,
            RandomGenerator random,
            BiConsumer<Long, SuspectDigest> onLifted) {
        mPlatform = platform;
        mTable = table;
        mListener = listener;
        mOwnsRecords = ownsRecords;
        mRandom = random;
        mOnLifted = onLifted;
        mKnownCrashes = new KnownCrashesStore(platform, table, listener);
    }

    /** Handles that the store was restored: the record owner reads the records again. */
    void onEra(long nowMs) {
        mNextReadMs = nowMs;
        mKnownCrashes.onMissing();
    }

    /** Makes the calls that are due. */
    void tick(long nowMs) {
        List<SuspectReport.Item> quarantined = mTable.quarantinedItems(nowMs);
        mWriteAtMs.keySet().retainAll(quarantined.stream().map(i -> i.digest()).toList());
        quarantined.stream()
                .filter(i -> !i.recorded() && !mWritesInProgress.contains(i.digest()))
                .filter(i -> nowMs >= writeAtMs(nowMs, i.digest()))
                .forEach(i -> write(nowMs, i));
        if (mReadOnce && mOwnsRecords.getAsBoolean()) {
            mKnownCrashes.tick(nowMs);
        }
        boolean anyRecords = mHasRecords || !quarantined.isEmpty();
        boolean readDue =
                !mReadInProgress
                        && nowMs >= mNextReadMs
                        && (!mReadOnce || (anyRecords && mOwnsRecords.getAsBoolean()));
        if (readDue) {
            mRecordedBeforeRead = recordedDigests(quarantined);
            startRead(nowMs);
        }
    }

    private void startRead(long nowMs) {
        mListed.clear();
        mListedKnownCrashes = false;
        mListing.restart();
        read(nowMs);
    }

    private static Set<SuspectDigest> recordedDigests(List<SuspectReport.Item> items) {
        Set<SuspectDigest> recorded = new HashSet<>();
        items.stream().filter(i -> i.recorded()).forEach(i -> recorded.add(i.digest()));
        return recorded;
    }

    private long writeAtMs(long nowMs, SuspectDigest digest) {
        return mWriteAtMs.computeIfAbsent(digest, d -> nowMs + writeDelayMs(d));
    }

    private long writeDelayMs(SuspectDigest digest) {
        if (mOwnsRecords.getAsBoolean()) {
            return 0;
        }
        return mTable.isObservedLocally(digest)
                ? OBSERVER_WRITE_DELAY_MS + mRandom.nextInt(OBSERVER_WRITE_JITTER_MS)
                : FALLBACK_WRITE_DELAY_MS + mRandom.nextInt(FALLBACK_WRITE_JITTER_MS);
    }

    private void write(long nowMs, SuspectReport.Item item) {
        mWritesInProgress.add(item.digest());
        String key = PREFIX + item.digest();
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(key, Json.encode(QuarantineRecord.of(nowMs, item))),
                (t, reply) -> onWritten(t, key, item.digest(), reply));
    }

    private void onWritten(long nowMs, String key, SuspectDigest digest, PlatformReply reply) {
        mWritesInProgress.remove(digest);
        boolean stored =
                reply instanceof PlatformReply.Written || reply instanceof PlatformReply.Conflict;
        if (!stored) {
            mWriteAtMs.put(digest, nowMs + RETRY_DELAY_MS);
            mListener.onRecordFailed(nowMs, key, reply.toString());
            return;
        }
        mHasRecords = true;
        mTable.onRecorded(digest);
    }

    /** Writes the number of trials into the record of a quarantine, so that it outlives the VMs. */
    void recordTrial(long nowMs, SuspectReport.Item item) {
        String key = PREFIX + item.digest();
        mPlatform.submit(
                nowMs, new PlatformCall.Get(key), (t, reply) -> updateRecord(t, key, item, reply));
    }

    private void updateRecord(
            long nowMs, String key, SuspectReport.Item item, PlatformReply reply) {
        if (!(reply instanceof PlatformReply.Found found)) {
            mListener.onRecordFailed(nowMs, key, reply.toString());
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Update(
                        key,
                        Json.encode(QuarantineRecord.of(nowMs, item)),
                        found.object().version()),
                (t, updated) -> onUpdated(t, key, updated));
    }

    private void onUpdated(long nowMs, String key, PlatformReply reply) {
        if (!(reply instanceof PlatformReply.Written)) {
            mListener.onRecordFailed(nowMs, key, reply.toString());
        }
    }

    private void read(long nowMs) {
        mReadInProgress = true;
        mPlatform.submit(nowMs, mListing.nextCall(), this::onRead);
    }

    private void onRead(long nowMs, PlatformReply reply) {
        mReadInProgress = false;
        if (!(reply instanceof PlatformReply.Listed page)) {
            onReadFailed(nowMs, reply.toString());
            return;
        }
        PagedListing.PageResult result = mListing.add(page);
        if (result != PagedListing.PageResult.RESTORED) {
            page.objects().forEach(o -> onRecord(nowMs, o));
        }
        switch (result) {
            case MORE -> read(nowMs);
            case COMPLETE -> completeRead(nowMs);
            case RESTORED -> startRead(nowMs);
            case NOT_ADVANCING -> onReadFailed(nowMs, PagedListing.NO_END);
            default -> throw new IllegalStateException("no such result of a page");
        }
    }

    private void onReadFailed(long nowMs, String reason) {
        mNextReadMs = nowMs + RETRY_DELAY_MS;
        mListener.onRecordFailed(nowMs, PREFIX, reason);
    }

    private void completeRead(long nowMs) {
        mReadOnce = true;
        if (!mListedKnownCrashes) {
            mKnownCrashes.onMissing();
        }
        mNextReadMs = nowMs + READ_INTERVAL_MS;
        mHasRecords = !mListed.isEmpty();
        long version = mListing.version();
        boolean restored =
                mLastReadVersion > 0 && !StoreVersion.isSameEra(mLastReadVersion, version);
        mLastReadVersion = version;
        mRecordedBeforeRead.stream()
                .filter(d -> !mListed.contains(d))
                .forEach(d -> onMissing(nowMs, d, restored));
    }

    private void onMissing(long nowMs, SuspectDigest digest, boolean restored) {
        if (restored) {
            mTable.item(nowMs, digest).ifPresent(i -> write(nowMs, i));
        } else {
            mOnLifted.accept(nowMs, digest);
        }
    }

    /**
     * Reports a failed deletion; a record that another VM changed meanwhile is left to the next
     * read.
     */
    private void onDeleted(long nowMs, String key, PlatformReply reply) {
        boolean done =
                reply instanceof PlatformReply.Written || reply instanceof PlatformReply.Conflict;
        if (!done) {
            mListener.onRecordFailed(nowMs, key, reply.toString());
        }
    }

    /** Merges a record that was read; the record owner deletes it if its quarantine is over. */
    private void onRecord(long nowMs, StoredObject object) {
        if (object.key().equals(KnownCrashesStore.KEY)) {
            mListedKnownCrashes = true;
            mKnownCrashes.onRead(nowMs, object);
            return;
        }
        Optional<SuspectDigest> digest =
                SuspectDigest.parse(object.key().substring(PREFIX.length()));
        Either<Failure, QuarantineRecord> decoded =
                Json.decode(object.value(), QuarantineRecord.class);
        if (digest.isEmpty() || decoded.isLeft()) {
            mListener.onRecordFailed(
                    nowMs, object.key(), "the object is not a valid quarantine record");
            return;
        }
        mListed.add(digest.get());
        SuspectReport.Item item = decoded.get().item(nowMs, digest.get());
        if (item.quarantineLeftMs() > 0) {
            mTable.merge(nowMs, List.of(item));
        }
        boolean over = mTable.isOver(nowMs, digest.get());
        if (over && mOwnsRecords.getAsBoolean()) {
            mPlatform.submit(
                    nowMs,
                    new PlatformCall.Delete(object.key(), object.version()),
                    (t, reply) -> onDeleted(t, object.key(), reply));
        }
    }
}
