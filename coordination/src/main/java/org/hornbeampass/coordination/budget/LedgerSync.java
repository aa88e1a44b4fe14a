package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.Optional;

/**
 * What this VM knows of one organisation's record, and when it may call the platform again.
 *
 * <p>Invariant: at most one call is in flight; {@code mBase} is a record that the platform held at
 * {@code mAsOfMs} or later, together with its version. Not thread-safe; guarded by its
 * organisation's lock.
 */
final class LedgerSync {
    private static final int MAX_CONFLICTS_IN_A_ROW = 3;
    private static final int MAX_JITTER_DOUBLINGS = 2;

    private final OrganisationId mOrganisation;
    private final BudgetSettings mSettings;
    private final int mJitterSeed;
    private Optional<LedgerRecord> mRecord = Optional.empty();
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

    /** Returns the platform's key of an organisation's record. */
    static String objectKey(OrganisationId organisation) {
        return "budgets/" + organisation.value();
    }

    Optional<LedgerRecord> record() {
        return mRecord;
    }

    boolean mayCall(long nowMs) {
        return !mInFlight && nowMs >= mNextCallMs;
    }

    boolean inFlight() {
        return mInFlight;
    }

    /** Returns whether the last call had no reply, so that the platform may be out of reach. */
    boolean unreachable() {
        return mFailures > 0;
    }

    long nextCallMs() {
        return mNextCallMs;
    }

    /** Returns whether the record was read or written no longer ago than a bound. */
    boolean freshWithin(long nowMs, long boundMs) {
        return mRecord.isPresent() && nowMs - mAsOfMs <= boundMs;
    }

    long calls() {
        return mReads + mWrites;
    }

    /** Makes the record known too old to act on, so that the next call is a read. */
    void discardRecord() {
        mRecord = Optional.empty();
    }

    /** Starts a read. */
    PlatformCall startRead() {
        mInFlight = true;
        mReads++;
        return new PlatformCall.Get(objectKey(mOrganisation));
    }

    /** Starts a conditional write over the record known. */
    PlatformCall startWrite(LedgerRecord next) {
        mInFlight = true;
        mWrites++;
        String value = Json.encode(next);
        return mVersion == 0
                ? new PlatformCall.Create(objectKey(mOrganisation), value)
                : new PlatformCall.Update(objectKey(mOrganisation), value, mVersion);
    }

    /** Ends a read; returns whether the record is known now. */
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

    /** Ends a write; returns whether the record as it is now is known. */
    boolean onWriteReply(long submittedMs, long nowMs, LedgerRecord written, PlatformReply reply) {
        mInFlight = false;
        if (reply instanceof PlatformReply.Written done) {
            mRecord = Optional.of(written);
            mVersion = done.version();
            mAsOfMs = submittedMs;
            mFailures = 0;
            mConflicts = 0;
            return true;
        }
        if (reply instanceof PlatformReply.Conflict conflict) {
            mConflicts++;
            boolean known = setRecord(submittedMs, nowMs, conflict.current());
            if (known && mConflicts > MAX_CONFLICTS_IN_A_ROW) {
                mNextCallMs = nowMs + jitter(mConflicts);
            }
            return known;
        }
        onFailure(nowMs);
        return false;
    }

    private boolean setRecord(long submittedMs, long nowMs, Optional<StoredObject> object) {
        if (object.isEmpty()) {
            mRecord = Optional.of(LedgerRecord.empty());
            mVersion = 0;
        } else {
            var decoded = Json.decode(object.get().value(), LedgerRecord.class);
            if (decoded.isLeft()) {
                onFailure(nowMs);
                return false;
            }
            mRecord = Optional.of(decoded.get());
            mVersion = object.get().version();
        }
        mAsOfMs = submittedMs;
        mFailures = 0;
        return true;
    }

    private void onFailure(long nowMs) {
        mRecord = Optional.empty();
        mFailures = Math.min(mFailures + 1, 30);
        long doubled = mSettings.backoffMinMs() << Math.min(mFailures - 1, 10);
        long wait = Math.min(mSettings.backoffMaxMs(), doubled);
        mNextCallMs = nowMs + wait / 2 + jitter(mFailures) % (wait / 2 + 1);
    }

    /** Spreads the VMs that lost the same race; the same at each run. */
    private long jitter(int attempt) {
        long window = mSettings.backoffMinMs() << Math.min(attempt, MAX_JITTER_DOUBLINGS);
        int hash = (mJitterSeed * 31 + attempt) * 0x9E3779B9;
        return Integer.toUnsignedLong(hash ^ (hash >>> 15)) % window;
    }
}
