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
 * The claims that a shard remembers, and the attempts that gave up theirs.
 *
 * <p>Invariants: an id has at most one claim, and only its holder's withdrawal removes it while the
 * id may still be used; an id that carries a time is forgotten only when every later claim of it is
 * refused as expired; an id that carries none is never forgotten. Not thread-safe; the ledger's
 * lock guards it.
 */
final class ClaimTable {
    private static final long CLAIM_OVERHEAD_BYTES = 200;

    private final Map<ClaimId, HeldClaim> mClaims = new HashMap<>();
    private final Map<AttemptId, Long> mWithdrawn = new HashMap<>();
    private long mUndatedBytes;

    /** A call that may not be repeated, whatever its body. */
    private record ClaimId(OrganisationId organisation, RequestId request) {
        private static ClaimId of(RequestKey key) {
            return new ClaimId(key.organisation(), key.request());
        }
    }

    /**
     * One claim that stands.
     *
     * @param key the call
     * @param attempt the attempt that holds it
     * @param claimedAtMs when it was claimed, by the log's time
     * @param outcome the call's outcome, where it is known
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record HeldClaim(
            RequestKey key, AttemptId attempt, long claimedAtMs, Optional<CallOutcome> outcome) {
        private HeldClaim withOutcome(CallOutcome known) {
            return new HeldClaim(key, attempt, claimedAtMs, Optional.of(known));
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

    /** Returns the claim on an id. */
    Optional<HeldClaim> find(RequestKey key) {
        return Optional.ofNullable(mClaims.get(ClaimId.of(key)));
    }

    /** Remembers that an attempt holds an id that is not held yet. */
    void grant(Claim claim, long atMs) {
        add(new HeldClaim(claim.key(), claim.attempt(), atMs, Optional.empty()));
    }

    /** Takes in a claim from a checkpoint, or a new one. */
    void add(HeldClaim held) {
        mClaims.put(ClaimId.of(held.key()), held);
        addUndatedBytes(held, 1);
    }

    /** Remembers the outcome of a held id. */
    void recordOutcome(HeldClaim held, CallOutcome outcome) {
        addUndatedBytes(held, -1);
        add(held.withOutcome(outcome));
    }

    private void addUndatedBytes(HeldClaim held, int sign) {
        if (held.undated()) {
            mUndatedBytes += sign * held.estimatedBytes();
        }
    }

    /** Ends an attempt's claim, now or when its entry comes later. */
    void withdraw(RequestKey key, AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
        HeldClaim held = mClaims.get(ClaimId.of(key));
        if (held != null && held.attempt().equals(attempt)) {
            mClaims.remove(ClaimId.of(key));
            addUndatedBytes(held, -1);
        }
    }

    /** Takes in a withdrawal from a checkpoint. */
    void addWithdrawn(AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
    }

    /** Returns whether an attempt gave up. */
    boolean isWithdrawn(AttemptId attempt) {
        return mWithdrawn.containsKey(attempt);
    }

    /** Returns how many bytes the claims whose ids carry no time take, about. */
    long undatedBytes() {
        return mUndatedBytes;
    }

    /** Forgets what can't be asked for any more. */
    void removeExpired(ActiveClock clock, Retention retention) {
        mClaims.values().removeIf(h -> isExpired(h.key().request(), clock.timeMs(), retention));
        mWithdrawn.values().removeIf(atMs -> clock.activeMsSince(atMs) > retention.lateMs());
    }

    /** Returns whether an id that carries a time is too old, or too far ahead, to be claimed. */
    static boolean isExpired(RequestId id, long logTimeMs, Retention retention) {
        OptionalLong time = KeyTimestamp.parse(id);
        if (time.isEmpty()) {
            return false;
        }
        long age = logTimeMs - time.getAsLong();
        return age > retention.retryMs() || age < -retention.retryMs();
    }

    /** Returns all claims that stand. */
    Collection<HeldClaim> heldClaims() {
        return mClaims.values();
    }

    /** Returns when each attempt that is still remembered gave up. */
    Map<AttemptId, Long> withdrawals() {
        return mWithdrawn;
    }
}
