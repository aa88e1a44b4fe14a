package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.RequestKey;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the claims of a shard, and the attempts whose claims were withdrawn.
 *
 * <p>Invariants: an id has at most one claim, and while the id may still be used, only a withdrawal
 * by the attempt that holds it removes it; the claim on an id that contains a timestamp is removed
 * only once every later claim on that id is rejected as expired; the claim on an id without a
 * timestamp is never removed by age. Not thread-safe; guarded by the ledger's lock.
 */
final class ClaimTable {
    private static final long CLAIM_OVERHEAD_BYTES = 200;

    private final Map<ClaimId, HeldClaim> mClaims = new HashMap<>();
    private final Map<AttemptId, Long> mWithdrawn = new HashMap<>();
    private long mUndatedBytes;

    /** Identifies a call that may not be repeated, regardless of its body. */
    private record ClaimId(OrganisationId organisation, RequestId request) {
        private static ClaimId of(RequestKey key) {
            return new ClaimId(key.organisation(), key.request());
        }
    }

    /**
     * A claim that was granted and not withdrawn.
     *
     * @param key the claimed call
     * @param attempt the attempt that holds the claim
     * @param claimedAtMs when it was claimed, by the log's time, in milliseconds
     * @param outcome the outcome of the call, if known
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record HeldClaim(
            RequestKey key, AttemptId attempt, long claimedAtMs, Optional<CallOutcome> outcome) {
        private HeldClaim withOutcome(CallOutcome result) {
            return new HeldClaim(key, attempt, claimedAtMs, Optional.of(result));
        }

        private long estimatedBytes() {
            int id = key.organisation().value().length() + key.request().value().length();
            return CLAIM_OVERHEAD_BYTES
                    + id
                    + key.bodyDigest().length()
                    + outcome.map(o -> o.body().length()).orElse(0);
        }

        private boolean undated() {
            return KeyTimestamp.parse(key.request()).isEmpty();
        }
    }

    /** Returns the claim on the id of a call, if there is one. */
    Optional<HeldClaim> find(RequestKey key) {
        return Optional.ofNullable(mClaims.get(ClaimId.of(key)));
    }

    /** Adds the claim of an attempt on an id that is not held yet. */
    void grant(Claim claim, long atMs) {
        add(new HeldClaim(claim.key(), claim.attempt(), atMs, Optional.empty()));
    }

    /** Adds a new claim, or one from a checkpoint. */
    void add(HeldClaim held) {
        mClaims.put(ClaimId.of(held.key()), held);
        addUndatedBytes(held, 1);
    }

    /** Records the outcome of a claimed call. */
    void record(HeldClaim held, CallOutcome outcome) {
        addUndatedBytes(held, -1);
        add(held.withOutcome(outcome));
    }

    private void addUndatedBytes(HeldClaim held, int sign) {
        if (held.undated()) {
            mUndatedBytes += sign * held.estimatedBytes();
        }
    }

    /**
     * Removes the claim of an attempt, and rejects that claim if its entry comes later in the log.
     */
    void withdraw(RequestKey key, AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
        HeldClaim held = mClaims.get(ClaimId.of(key));
        if (held != null && held.attempt().equals(attempt)) {
            mClaims.remove(ClaimId.of(key));
            addUndatedBytes(held, -1);
        }
    }

    /** Adds a withdrawal from a checkpoint. */
    void addWithdrawn(AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
    }

    /** Returns whether the claim of an attempt was withdrawn. */
    boolean isWithdrawn(AttemptId attempt) {
        return mWithdrawn.containsKey(attempt);
    }

    /** Returns roughly how many bytes the claims take whose ids have no timestamp. */
    long undatedBytes() {
        return mUndatedBytes;
    }

    /** Removes the claims and withdrawals that no later entry can refer to. */
    void removeExpired(ActiveClock clock, Retention retention) {
        mClaims.values().removeIf(h -> isExpired(h.key().request(), clock.timeMs(), retention));
        mWithdrawn.values().removeIf(atMs -> clock.activeMsSince(atMs) > retention.lateMs());
    }

    /**
     * Returns whether the timestamp in an id is too old, or too far in the future, for the id to be
     * claimed; false for an id without a timestamp.
     */
    static boolean isExpired(RequestId id, long logTimeMs, Retention retention) {
        OptionalLong time = KeyTimestamp.parse(id);
        if (time.isEmpty()) {
            return false;
        }
        long age = logTimeMs - time.getAsLong();
        return age > retention.retryMs() || age < -retention.retryMs();
    }

    /** Returns all claims that were granted and not withdrawn. */
    Collection<HeldClaim> heldClaims() {
        return mClaims.values();
    }

    /** Returns when each claim was withdrawn, in milliseconds, by attempt. */
    Map<AttemptId, Long> withdrawals() {
        return mWithdrawn;
    }
}
