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
    private Optional<LedgerRecord> mBase = Optional.empty();
    private long mVersion;
    private long mAsOfMs;
    private boolean mInFlight;
    private int mFailures;
    private int mConflicts;
    private long mNextMs = Long.MIN_VALUE;
    private long mReads;
    private long mWrites;

    LedgerSync(OrganisationId organisation, BudgetSettings settings, int jitterSeed) {
        mOrganisation = organisation;
        mSettings = settings;
        mJitterSeed = jitterSeed;
    }

    /** Returns the platform's key of an organisation's record. */
    static String key(OrganisationId organisation) {
        return "budgets/" + organisation.value();
    }

    Optional<LedgerRecord> base() {
        return mBase;
    }

    boolean mayCall(long nowMs) {
        return !mInFlight && nowMs >= mNextMs;
    }

    boolean inFlight() {
        return mInFlight;
    }

    /** Returns whether the last call had no reply, so that the platform may be out of reach. */
    boolean unreachable() {
        return mFailures > 0;
    }

    long nextMs() {
        return mNextMs;
    }

    /** Returns whether the record was read or written no longer ago than a bound. */
    boolean freshWithin(long nowMs, long boundMs) {
        return mBase.isPresent() && nowMs - mAsOfMs <= boundMs;
    }

    long calls() {
        return mReads + mWrites;
    }

    /** Makes the record known too old to act on, so that the next call is a read. */
    void expire() {
        mBase = Optional.empty();
    }

    /** Starts a read. */
    PlatformCall read() {
        mInFlight = true;
        mReads++;
        return new PlatformCall.Get(key(mOrganisation));
    }

    /** Starts a conditional write over the record known. */
    PlatformCall write(LedgerRecord next) {
        mInFlight = true;
        mWrites++;
        String value = Json.encode(next);
        return mVersion == 0
                ? new PlatformCall.Create(key(mOrganisation), value)
                : new PlatformCall.Update(key(mOrganisation), value, mVersion);
    }

    /** Ends a read; returns whether the record is known now. */
    boolean readDone(long submittedMs, long nowMs, PlatformReply reply) {
        mInFlight = false;
        if (reply instanceof PlatformReply.Found found) {
            return know(submittedMs, nowMs, Optional.of(found.object()));
        }
        if (reply instanceof PlatformReply.Missing) {
            return know(submittedMs, nowMs, Optional.empty());
        }
        fail(nowMs);
        return false;
    }

    /** Ends a write; returns whether the record as it is now is known. */
    boolean writeDone(long submittedMs, long nowMs, LedgerRecord written, PlatformReply reply) {
        mInFlight = false;
        if (reply instanceof PlatformReply.Written done) {
            mBase = Optional.of(written);
            mVersion = done.version();
            mAsOfMs = submittedMs;
            mFailures = 0;
            mConflicts = 0;
            return true;
        }
        if (reply instanceof PlatformReply.Conflict conflict) {
            mConflicts++;
            boolean known = know(submittedMs, nowMs, conflict.current());
            if (known && mConflicts > MAX_CONFLICTS_IN_A_ROW) {
                mNextMs = nowMs + jitter(mConflicts);
            }
            return known;
        }
        fail(nowMs);
        return false;
    }

    private boolean know(long submittedMs, long nowMs, Optional<StoredObject> object) {
        if (object.isEmpty()) {
            mBase = Optional.of(LedgerRecord.empty());
            mVersion = 0;
        } else {
            var decoded = Json.decode(object.get().value(), LedgerRecord.class);
            if (decoded.isLeft()) {
                fail(nowMs);
                return false;
            }
            mBase = Optional.of(decoded.get());
            mVersion = object.get().version();
        }
        mAsOfMs = submittedMs;
        mFailures = 0;
        return true;
    }

    private void fail(long nowMs) {
        mBase = Optional.empty();
        mFailures = Math.min(mFailures + 1, 30);
        long doubled = mSettings.backoffMinMs() << Math.min(mFailures - 1, 10);
        long wait = Math.min(mSettings.backoffMaxMs(), doubled);
        mNextMs = nowMs + wait / 2 + jitter(mFailures) % (wait / 2 + 1);
    }

    /** Spreads the VMs that lost the same race; the same at each run. */
    private long jitter(int attempt) {
        long window = mSettings.backoffMinMs() << Math.min(attempt, MAX_JITTER_DOUBLINGS);
        int hash = (mJitterSeed * 31 + attempt) * 0x9E3779B9;
        return Integer.toUnsignedLong(hash ^ (hash >>> 15)) % window;
    }
}
