package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;

import java.util.Comparator;
import java.util.List;

/**
 * Writes the crashes that do not suffice for a quarantine yet to the platform's store, so that they
 * count on when all VMs have ended.
 *
 * <p>One record holds them all and is read with those of the quarantines. The record owner writes
 * it when a suspect has more crashes, and, less often, when some were cleared. A crash that may be
 * a coincidence is not written. Invariants: at most one write is in progress; a write replaces only
 * the version that was merged before. Confined to one thread.
 */
final class KnownCrashesStore {
    static final String KEY = QuarantineStore.PREFIX + "known-crashes";

    /** How many crashes a suspect must have to be written. */
    private static final int MIN_CRASHES = 2;

    /** The largest number of suspects in the record, those with most crashes. */
    private static final int MAX_SUSPECTS = 32;

    /** The minimum interval between writes, in milliseconds. */
    private static final long WRITE_INTERVAL_MS = 1_000;

    /** The minimum interval between writes that only remove crashes, in milliseconds. */
    private static final long REMOVAL_INTERVAL_MS = 10_000;

    private final Platform mPlatform;
    private final SuspectTable mTable;
    private final QuarantineListener mListener;
    private KnownCrashes mStored = KnownCrashes.NONE;
    private long mVersion;
    private boolean mWriteInProgress;
    private long mLastWriteMs = Long.MIN_VALUE / 2;

    KnownCrashesStore(Platform platform, SuspectTable table, QuarantineListener listener) {
        mPlatform = platform;
        mTable = table;
        mListener = listener;
    }

    /** Merges the record as read from the store. */
    void onRead(long nowMs, StoredObject object) {
        mVersion = object.version();
        mStored =
                Json.decode(object.value(), KnownCrashes.class)
                        .peekLeft(f -> mListener.onRecordFailed(nowMs, KEY, f.message()))
                        .getOrElse(KnownCrashes.NONE);
        List<SuspectDigest> unused = mTable.merge(nowMs, mStored.items(nowMs));
    }

    /** Handles that the store does not have the record, or may have lost it. */
    void onMissing() {
        mVersion = 0;
        mStored = KnownCrashes.NONE;
    }

    /** Writes the record if that is due; called on the record owner once it has read the store. */
    void tick(long nowMs) {
        long sinceMs = nowMs - mLastWriteMs;
        if (mWriteInProgress || sinceMs < WRITE_INTERVAL_MS) {
            return;
        }
        KnownCrashes known = known();
        boolean more = !mStored.hasAllOf(known);
        boolean fewer = !known.hasAllOf(mStored);
        if (more || (fewer && sinceMs >= REMOVAL_INTERVAL_MS)) {
            write(nowMs, known);
        }
    }

    private KnownCrashes known() {
        return new KnownCrashes(
                mTable.withUnclearedCrashes(MIN_CRASHES).stream()
                        .filter(s -> !s.isQuarantined())
                        .sorted(
                                Comparator.comparing((Suspect s) -> s.unclearedCrashes().size())
                                        .reversed())
                        .limit(MAX_SUSPECTS)
                        .map(KnownCrashes.Entry::of)
                        .toList());
    }

    private void write(long nowMs, KnownCrashes known) {
        mWriteInProgress = true;
        mLastWriteMs = nowMs;
        String value = Json.encode(known);
        PlatformCall call = PlatformCall.write(KEY, value, mVersion);
        mPlatform.submit(nowMs, call, (t, reply) -> onWritten(t, known, reply));
    }

    private void onWritten(long nowMs, KnownCrashes known, PlatformReply reply) {
        mWriteInProgress = false;
        if (reply instanceof PlatformReply.Written written) {
            mVersion = written.version();
            mStored = known;
            return;
        }
        if (reply instanceof PlatformReply.Conflict conflict) {
            conflict.current().ifPresentOrElse(o -> onRead(nowMs, o), this::onMissing);
            return;
        }
        if (reply instanceof PlatformReply.Missing) {
            onMissing();
            return;
        }
        mListener.onRecordFailed(nowMs, KEY, reply.toString());
    }
}
