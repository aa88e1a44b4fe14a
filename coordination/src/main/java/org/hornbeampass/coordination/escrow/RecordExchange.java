package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.state.Json;

import java.util.SplittableRandom;

/**
 * Reads one record of budgets from the store and writes it by conditional updates.
 *
 * <p>Invariants: at most one call is open; a write is based on the version that was read last; for
 * each version read, it is known whether an earlier write may still be applied to it. Not
 * thread-safe; must be used on one thread.
 */
final class RecordExchange {
    /** Supplies the record to write and handles the results of an exchange. */
    interface Handler {
        /** Returns the record to write, now that the record in the store is known. */
        EscrowRecord prepareRecord(long nowMs);

        /**
         * Called before the next write, when the known record has been read from the store.
         *
         * @param nowMs the current time in milliseconds
         * @param writePending whether an earlier write may still be applied to this version
         * @return whether the record may be written now
         */
        boolean onRecordRead(long nowMs, boolean writePending);

        /** Returns whether the record, which the store lacks, may be created now. */
        boolean mayCreate(long nowMs);

        /**
         * Called when the record has been written to the store.
         *
         * @param nowMs the current time in milliseconds
         * @param withForgottenGrants whether the store may have lacked grants in it until now
         */
        void onWritten(long nowMs, boolean withForgottenGrants);

        /** Called when an exchange has failed. */
        void onFailed(long nowMs);
    }

    /**
     * The pause after a failed call, in milliseconds. Calls are billed, and outages last seconds.
     */
    private static final long RETRY_MS = 400;

    /**
     * The pause after the second and each further conflict in a row. Without it, many VMs that
     * write the same record at once, as after an outage, would overwrite each other's versions as
     * fast as the store allows.
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

    /** Requires that the record is read again, since the store was restored. */
    void onRestored() {
        mVersionKnown = false;
        mMustCreate = false;
        mNotBeforeMs = Long.MIN_VALUE;
    }

    /** Returns how long the current call has been open, in milliseconds; 0 if no call is open. */
    long openForMs(long nowMs) {
        return mCallOpen ? nowMs - mCallStartMs : 0;
    }

    /** Reads the record, then writes the one that the handler prepares. */
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
        mKnownBudgets.records().onWriteSent();
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
            onMissing(nowMs);
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

    private void onMissing(long nowMs) {
        mKnownBudgets.onStoreReply(nowMs);
        if (!mHandler.mayCreate(nowMs)) {
            mNotBeforeMs = nowMs + RETRY_MS;
            return;
        }
        mVersionKnown = true;
        mMustCreate = true;
        write(nowMs);
    }

    private void onWritten(long nowMs, long version) {
        mUncertainBaseVersion = -1;
        mMustCreate = false;
        mConflicts = 0;
        mVersion = version;
        boolean forgotten = mKnownBudgets.records().hasForgottenGrants();
        mKnownBudgets.records().onWritten(mSentRecord, version);
        onRecordKnown(nowMs);
        mHandler.onWritten(nowMs, forgotten);
    }

    private void onRecordKnown(long nowMs) {
        mKnownBudgets.onStoreReply(nowMs);
        mKnownBudgets.markRecordKnown();
    }

    /**
     * Retries the write immediately on the version of another VM; after further conflicts, only
     * after a pause.
     */
    private void onConflict(long nowMs, StoredObject current) {
        mConflicts++;
        if (mConflicts == 1) {
            adoptAndWrite(nowMs, current);
            return;
        }
        boolean unused = adoptVersion(nowMs, current);
        mNotBeforeMs = nowMs + CONFLICT_BACKOFF.waitMs(mConflicts, mRandom);
    }

    /**
     * Adopts a version that may be outdated, only as the base of the next write, which the store
     * applies only if the version is current. It changes no limit and does not count as a current
     * reply of the store. Without this read, more than half of the writes were based on a version
     * that another VM had replaced, which costs two calls.
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
        mKnownBudgets.records().onRead(decode(object), object.version());
    }

    private EscrowRecord decode(StoredObject object) {
        return Json.decode(object.value(), EscrowRecord.class)
                .getOrElseThrow(f -> new IllegalStateException(mKey + ": " + f.message()));
    }

    /** Adopts the record as read and writes the next one, if that is allowed now. */
    private void adoptAndWrite(long nowMs, StoredObject object) {
        if (adoptVersion(nowMs, object)) {
            write(nowMs);
        } else {
            mNotBeforeMs = nowMs + RETRY_MS;
        }
    }

    /** Adopts the record as read; returns whether the next one may be written now. */
    private boolean adoptVersion(long nowMs, StoredObject object) {
        mVersionKnown = true;
        mVersion = object.version();
        mKnownBudgets.records().onRead(decode(object), mVersion);
        onRecordKnown(nowMs);
        // A late write compares revisions alone, so that a restored store may still apply it.
        boolean writePending =
                StoreVersion.revision(mVersion) == StoreVersion.revision(mUncertainBaseVersion);
        return mHandler.onRecordRead(nowMs, writePending);
    }
}
