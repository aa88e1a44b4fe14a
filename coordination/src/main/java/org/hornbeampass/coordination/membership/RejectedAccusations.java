package org.hornbeampass.coordination.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of rejected accusations, which are forwarded to the accused VMs so that they can refute
 * them.
 *
 * <p>Invariants: at most one accusation per interval is forwarded, in the order in which the VMs
 * were first accused; at most one per VM is queued; an accusation that the table has superseded is
 * dropped. Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class RejectedAccusations {
    static final long INTERVAL_MS = 500;

    private final Map<String, MemberUpdate> mWaiting = new LinkedHashMap<>();
    private long mNextMs;

    /** Adds an accusation, replacing an older one against the same VM. */
    void add(MemberUpdate accusation) {
        mWaiting.put(accusation.name(), accusation);
    }

    /**
     * Removes and returns the next accusation to forward; empty if none is due.
     *
     * @param nowMs the current time in milliseconds
     * @param table the current member table
     */
    Optional<MemberUpdate> next(long nowMs, MemberTable table) {
        if (nowMs < mNextMs) {
            return Optional.empty();
        }
        while (!mWaiting.isEmpty()) {
            String name = mWaiting.keySet().iterator().next();
            MemberUpdate accusation = mWaiting.remove(name);
            if (table.entry(name).filter(e -> isUnresolved(e, accusation)).isPresent()) {
                mNextMs = nowMs + INTERVAL_MS;
                return Optional.of(accusation);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the accusation was not refuted and is worse than what the entry holds. */
    private static boolean isUnresolved(MemberEntry entry, MemberUpdate accusation) {
        boolean newer = accusation.counter() > entry.counter();
        boolean stronger =
                accusation.counter() == entry.counter()
                        && accusation.health().overrides(entry.health());
        return entry.vm().equals(accusation.vm()) && (newer || stronger);
    }
}
