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
final class ClaimMemory {
    private static final long FIXED_BYTES = 200;

    private final Map<ClaimId, Held> mClaims = new HashMap<>();
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
    record Held(
            RequestKey key, AttemptId attempt, long claimedAtMs, Optional<CallOutcome> outcome) {
        private Held with(CallOutcome known) {
            return new Held(key, attempt, claimedAtMs, Optional.of(known));
        }

        private long bytes() {
            int id = key.organisation().value().length() + key.request().value().length();
            return FIXED_BYTES
                    + id
                    + key.bodyDigest().length()
                    + outcome.map(o -> o.body().length()).orElse(0);
        }

        private boolean undated() {
            return KeyTime.of(key.request()).isEmpty();
        }
    }

    /** Returns the claim on an id. */
    Optional<Held> find(RequestKey key) {
        return Optional.ofNullable(mClaims.get(ClaimId.of(key)));
    }

    /** Remembers that an attempt holds an id that is not held yet. */
    void grant(Claim claim, long atMs) {
        add(new Held(claim.key(), claim.attempt(), atMs, Optional.empty()));
    }

    /** Takes in a claim from a checkpoint, or a new one. */
    void add(Held held) {
        mClaims.put(ClaimId.of(held.key()), held);
        count(held, 1);
    }

    /** Remembers the outcome of a held id. */
    void record(Held held, CallOutcome outcome) {
        count(held, -1);
        add(held.with(outcome));
    }

    private void count(Held held, int sign) {
        if (held.undated()) {
            mUndatedBytes += sign * held.bytes();
        }
    }

    /** Ends an attempt's claim, now or when its entry comes later. */
    void withdraw(RequestKey key, AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
        Held held = mClaims.get(ClaimId.of(key));
        if (held != null && held.attempt().equals(attempt)) {
            mClaims.remove(ClaimId.of(key));
            count(held, -1);
        }
    }

    /** Takes in a withdrawal from a checkpoint. */
    void addWithdrawn(AttemptId attempt, long withdrawnAtMs) {
        mWithdrawn.put(attempt, withdrawnAtMs);
    }

    /** Returns whether an attempt gave up. */
    boolean withdrawn(AttemptId attempt) {
        return mWithdrawn.containsKey(attempt);
    }

    /** Returns how many bytes the claims whose ids carry no time take, about. */
    long undatedBytes() {
        return mUndatedBytes;
    }

    /** Forgets what can't be asked for any more. */
    void sweep(ActiveClock clock, Retention retention) {
        mClaims.values().removeIf(h -> expired(h.key().request(), clock.timeMs(), retention));
        mWithdrawn.values().removeIf(atMs -> clock.activeSince(atMs) > retention.lateMs());
    }

    /** Returns whether an id that carries a time is too old, or too far ahead, to be claimed. */
    static boolean expired(RequestId id, long logTimeMs, Retention retention) {
        OptionalLong time = KeyTime.of(id);
        if (time.isEmpty()) {
            return false;
        }
        long age = logTimeMs - time.getAsLong();
        return age > retention.retryMs() || age < -retention.retryMs();
    }

    /** Returns all claims that stand. */
    Collection<Held> held() {
        return mClaims.values();
    }

    /** Returns when each attempt that is still remembered gave up. */
    Map<AttemptId, Long> withdrawals() {
        return mWithdrawn;
    }
}
