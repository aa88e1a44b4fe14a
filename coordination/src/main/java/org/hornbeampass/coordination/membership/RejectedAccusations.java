package org.hornbeampass.coordination.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which accusation that did not count is passed to the accused VM next.
 *
 * <p>Invariants: at most one per interval, in the order in which the VMs were first accused; one
 * per VM waits; an accusation that the table has overtaken is dropped. Not thread-safe: guarded by
 * the lock of {@link Membership}.
 */
final class RejectedAccusations {
    static final long INTERVAL_MS = 500;

    private final Map<String, MemberUpdate> mWaiting = new LinkedHashMap<>();
    private long mNextMs;

    /** Adds an accusation, in place of an older one of the same VM. */
    void add(MemberUpdate accusation) {
        mWaiting.put(accusation.name(), accusation);
    }

    /**
     * Takes the next accusation to pass on; empty where none is due.
     *
     * @param nowMs the present time in milliseconds
     * @param table what this VM believes by now
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

    /** Returns whether the entry is neither refuted nor believed to be as bad as accused. */
    private static boolean isUnresolved(MemberEntry entry, MemberUpdate accusation) {
        boolean newer = accusation.counter() > entry.counter();
        boolean stronger =
                accusation.counter() == entry.counter()
                        && accusation.health().overrides(entry.health());
        return entry.vm().equals(accusation.vm()) && (newer || stronger);
    }
}
