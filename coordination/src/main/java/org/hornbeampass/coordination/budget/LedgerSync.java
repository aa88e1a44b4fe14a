package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.Optional;

/**
 * Holds the last record received of one organisation, and controls when the platform may be called
 * again.
 *
 * <p>Invariant: at most one call is in flight. {@code mLastRecord} is a record that the platform
 * held at {@code mAsOfMs} or later, and {@code mVersion} is its version. Not thread-safe; guarded
 * by its organisation's lock.
 */
final class LedgerSync {
    private static final int MAX_CONFLICTS_IN_A_ROW = 3;
    private static final int MAX_JITTER_DOUBLINGS = 2;

    private final OrganisationId mOrganisation;
    private final BudgetSettings mSettings;
    private final int mJitterSeed;
    private Optional<LedgerRecord> mLastRecord = Optional.empty();
    private long mVersion;
    private long mAsOfMs;
    private boolean mInFlight;
    private int mFailures;
    private int mConflicts;
    private long mNextCallMs = Long.MIN_VALUE;
    private long mReads;
    private long mWrites;

    LedgerSync(OrganisationId organisation, BudgetSettings settings, int jitterSeed) {
        mOrganisation = organisation;
        mSettings = settings;
        mJitterSeed = jitterSeed;
    }

    /** Returns the key of an organisation's record on the platform. */
    static String objectKey(OrganisationId organisation) {
        return "budgets/" + organisation.value();
    }

    Optional<LedgerRecord> lastRecord() {
        return mLastRecord;
    }

    boolean mayCall(long nowMs) {
        return !mInFlight && nowMs >= mNextCallMs;
    }

    boolean inFlight() {
        return mInFlight;
    }

    /** Returns whether the last call failed, so that the platform may be unreachable. */
    boolean unreachable() {
        return mFailures > 0;
    }

    long nextCallMs() {
        return mNextCallMs;
    }

    /** Returns whether the last record received is not older than {@code boundMs} milliseconds. */
    boolean freshWithin(long nowMs, long boundMs) {
        return mLastRecord.isPresent() && nowMs - mAsOfMs <= boundMs;
    }

    long calls() {
        return mReads + mWrites;
    }

    /** Discards the last record received, so that the next call is a read. */
    void discardRecord() {
        mLastRecord = Optional.empty();
    }

    /** Starts a read and returns the call to submit. */
    PlatformCall startRead() {
        mInFlight = true;
        mReads++;
        return new PlatformCall.Get(objectKey(mOrganisation));
    }

    /** Starts a conditional update of the last record received and returns the call to submit. */
    PlatformCall startWrite(LedgerRecord next) {
        mInFlight = true;
        mWrites++;
        String value = Json.encode(next);
        return PlatformCall.write(objectKey(mOrganisation), value, mVersion);
    }

    /** Ends a read. Returns whether the record was received. */
    boolean onReadReply(long submittedMs, long nowMs, PlatformReply reply) {
        mInFlight = false;
        if (reply instanceof PlatformReply.Found found) {
            return setRecord(submittedMs, nowMs, Optional.of(found.object()));
        }
        if (reply instanceof PlatformReply.Missing) {
            return setRecord(submittedMs, nowMs, Optional.empty());
        }
        onFailure(nowMs);
        return false;
    }

    /**
     * Ends a write. Returns whether the current record is known, either as written or from a
     * conflict reply.
     */
    boolean onWriteReply(long submittedMs, long nowMs, LedgerRecord written, PlatformReply reply) {
        mInFlight = false;
        if (reply instanceof PlatformReply.Written done) {
            mLastRecord = Optional.of(written);
            mVersion = done.version();
            mAsOfMs = submittedMs;
            mFailures = 0;
            mConflicts = 0;
            return true;
        }
        if (reply instanceof PlatformReply.Conflict conflict) {
            mConflicts++;
            boolean received = setRecord(submittedMs, nowMs, conflict.current());
            if (received && mConflicts > MAX_CONFLICTS_IN_A_ROW) {
                mNextCallMs = nowMs + jitter(mConflicts);
            }
            return received;
        }
        onFailure(nowMs);
        return false;
    }

    private boolean setRecord(long submittedMs, long nowMs, Optional<StoredObject> object) {
        if (object.isEmpty()) {
            mLastRecord = Optional.of(LedgerRecord.empty());
            mVersion = 0;
        } else {
            var decoded = Json.decode(object.get().value(), LedgerRecord.class);
            if (decoded.isLeft()) {
                onFailure(nowMs);
                return false;
            }
            mLastRecord = Optional.of(decoded.get());
            mVersion = object.get().version();
        }
        mAsOfMs = submittedMs;
        mFailures = 0;
        return true;
    }

    private void onFailure(long nowMs) {
        mLastRecord = Optional.empty();
        mFailures = Math.min(mFailures + 1, 30);
        long backoff = mSettings.backoffMinMs() << Math.min(mFailures - 1, 10);
        long wait = Math.min(mSettings.backoffMaxMs(), backoff);
        mNextCallMs = nowMs + wait / 2 + jitter(mFailures) % (wait / 2 + 1);
    }

    /**
     * Returns a delay that differs between VMs, so that those that lost the same race do not retry
     * together. It is deterministic, so that simulations are repeatable.
     */
    private long jitter(int attempt) {
        long window = mSettings.backoffMinMs() << Math.min(attempt, MAX_JITTER_DOUBLINGS);
        int hash = (mJitterSeed * 31 + attempt) * 0x9E3779B9;
        return Integer.toUnsignedLong(hash ^ (hash >>> 15)) % window;
    }
}
