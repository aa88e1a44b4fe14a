package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.state.Json;

import java.util.SplittableRandom;

/**
 * Reads and conditionally writes one record of budgets in the store.
 *
 * <p>Invariants: at most one call is open; a write is based on the version that was read last; it
 * is known of each version that is read whether an earlier write may still be carried out on it.
 * Confined to one thread.
 */
final class RecordExchange {
    /** What an exchange is made for. */
    interface Handler {
        /** Returns the record to write, once what the store holds is known. */
        EscrowRecord prepareRecord(long nowMs);

        /** Hears that the known record is what the store holds, before the next write. */
        void onRecordRead(long nowMs, boolean writePending);

        /** Hears that the store holds what was written. */
        void onWritten(long nowMs);

        /** Hears that an exchange ended without an answer. */
        void onFailed(long nowMs);
    }

    /** How long to wait after a failed call; calls are priced, and outages last seconds. */
    private static final long RETRY_MS = 400;

    /**
     * Waits after the second conflict in a row and each further one: many VMs that write one record
     * at once, as after a cut, would replace each other's versions at the store's own pace.
     */
    private static final RetryPolicy CONFLICT_BACKOFF = new RetryPolicy(10, 640, Integer.MAX_VALUE);

    private final Platform mPlatform;
    private final String mKey;
    private final KnownBudgets mKnownBudgets;
    private final SplittableRandom mRandom;
    private final Handler mHandler;
    private boolean mCallOpen;
    private boolean mStaleReadOpen;
    private long mCallStartMs;
    private boolean mVersionKnown;
    private boolean mFailing;
    private boolean mMustCreate;
    private int mConflicts;
    private long mVersion;
    private long mUncertainBaseVersion = -1;
    private EscrowRecord mSentRecord = EscrowRecord.empty();
    private long mNotBeforeMs = Long.MIN_VALUE;

    RecordExchange(
            Platform platform, String key, KnownBudgets knownBudgets, long seed, Handler handler) {
        mPlatform = platform;
        mKey = key;
        mKnownBudgets = knownBudgets;
        mRandom = new SplittableRandom(seed);
        mHandler = handler;
    }

    /** Returns whether an exchange can be started. */
    boolean isReady(long nowMs) {
        return !mCallOpen && nowMs >= mNotBeforeMs;
    }

    /** Returns whether the last call failed. */
    boolean isFailing() {
        return mFailing;
    }

    /** Returns whether the record was read, and no call has failed since. */
    boolean isVersionKnown() {
        return mVersionKnown;
    }

    /** Returns for how long a call has been open, in milliseconds; 0 where none is. */
    long openForMs(long nowMs) {
        return mCallOpen ? nowMs - mCallStartMs : 0;
    }

    /** Reads the record, and writes it as its side wants it. */
    void start(long nowMs) {
        if (!mVersionKnown) {
            submit(nowMs, new PlatformCall.Get(mKey));
            return;
        }
        mStaleReadOpen = true;
        submit(nowMs, new PlatformCall.Get(mKey, true));
    }

    private void write(long nowMs) {
        mSentRecord = mHandler.prepareRecord(nowMs);
        mUncertainBaseVersion = mVersion;
        String value = Json.encode(mSentRecord);
        submit(
                nowMs,
                mMustCreate
                        ? new PlatformCall.Create(mKey, value)
                        : new PlatformCall.Update(mKey, value, mVersion));
    }

    private void submit(long nowMs, PlatformCall call) {
        mCallOpen = true;
        mCallStartMs = nowMs;
        mPlatform.submit(nowMs, call, this::onReply);
    }

    private void onReply(long nowMs, PlatformReply reply) {
        mCallOpen = false;
        boolean staleRead = mStaleReadOpen;
        mStaleReadOpen = false;
        mFailing =
                reply instanceof PlatformReply.Throttled
                        || reply instanceof PlatformReply.Unavailable;
        if (reply instanceof PlatformReply.Written written) {
            onWritten(nowMs, written.version());
            return;
        }
        if (staleRead && !mFailing) {
            adoptStaleRead(reply);
            write(nowMs);
            return;
        }
        if (reply instanceof PlatformReply.Found found) {
            adoptAndWrite(nowMs, found.object());
            return;
        }
        if (reply instanceof PlatformReply.Missing) {
            mKnownBudgets.onStoreReply(nowMs);
            mVersionKnown = true;
            mMustCreate = true;
            write(nowMs);
            return;
        }
        if (reply instanceof PlatformReply.Conflict conflict && conflict.current().isPresent()) {
            mMustCreate = false;
            onConflict(nowMs, conflict.current().get());
            return;
        }
        mVersionKnown = false;
        mNotBeforeMs = nowMs + RETRY_MS;
        mHandler.onFailed(nowMs);
    }

    private void onWritten(long nowMs, long version) {
        mUncertainBaseVersion = -1;
        mMustCreate = false;
        mConflicts = 0;
        mVersion = version;
        setKnownRecord(nowMs, mSentRecord);
        mHandler.onWritten(nowMs);
    }

    private void setKnownRecord(long nowMs, EscrowRecord record) {
        mKnownBudgets.onStoreReply(nowMs);
        mKnownBudgets.setRecord(record);
        mKnownBudgets.markRecordKnown();
    }

    /** Writes once more at the version that another VM has written, and later where that fails. */
    private void onConflict(long nowMs, StoredObject current) {
        mConflicts++;
        if (mConflicts == 1) {
            adoptAndWrite(nowMs, current);
            return;
        }
        adoptVersion(nowMs, current);
        mNotBeforeMs = nowMs + CONFLICT_BACKOFF.waitMs(mConflicts, mRandom);
    }

    /**
     * Takes in a version that may be old, only as the base of the next write: the store carries
     * that out only if it was not. No limit changes by it, nor does it count as news. A write at a
     * version that another VM has replaced costs two calls; more than half of them did.
     */
    private void adoptStaleRead(PlatformReply reply) {
        boolean newer =
                reply instanceof PlatformReply.Found found && found.object().version() > mVersion;
        if (!newer) {
            return;
        }
        StoredObject object = ((PlatformReply.Found) reply).object();
        mVersion = object.version();
        mMustCreate = false;
        mKnownBudgets.setRecord(decode(object));
    }

    private EscrowRecord decode(StoredObject object) {
        return Json.decode(object.value(), EscrowRecord.class)
                .getOrElseThrow(f -> new IllegalStateException(mKey + ": " + f.message()));
    }

    /** Takes the record in as it is, and goes on with a write where one is due. */
    private void adoptAndWrite(long nowMs, StoredObject object) {
        adoptVersion(nowMs, object);
        write(nowMs);
    }

    private void adoptVersion(long nowMs, StoredObject object) {
        mVersionKnown = true;
        mVersion = object.version();
        setKnownRecord(nowMs, decode(object));
        mHandler.onRecordRead(nowMs, mVersion == mUncertainBaseVersion);
    }
}
