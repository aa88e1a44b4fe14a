package org.hornbeampass.state.budget;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The platform's record of one budget.
 *
 * <p>Invariant: {@code drawn() <= paid}, where {@code drawn()} is the sum of all tokens that open
 * and closed holders drew and did not return. Immutable and thread-safe.
 *
 * @param paid the tokens paid for and not refunded
 * @param target the value to which the operator wants to lower {@code paid}, if holders still hold
 *     more than that
 * @param holders the open holders
 * @param closed the sum of all closed holders
 * @param openTopUps the ids of top-ups that were added to {@code paid} but whose own objects may
 *     not be marked as added yet
 * @param changes the most recent changes by operators, as {@code writer:sequence}, oldest first
 */
public record BudgetRecord(
        long paid,
        OptionalLong target,
        Map<HolderId, HolderRecord> holders,
        HolderRecord closed,
        Set<String> openTopUps,
        List<String> changes) {
    /** The maximum value of any sum of tokens. */
    public static final long MAX_TOKENS = 1_000_000_000_000_000L;

    private static final int MAX_CHANGES = 32;

    /** Copies the collections. */
    public BudgetRecord {
        holders = java.util.Collections.unmodifiableMap(new TreeMap<>(holders));
        openTopUps = java.util.Collections.unmodifiableSet(new TreeSet<>(openTopUps));
        changes = List.copyOf(changes);
    }

    /** Returns a budget for which no tokens were paid. */
    public static BudgetRecord empty() {
        return new BudgetRecord(
                0, OptionalLong.empty(), Map.of(), HolderRecord.NONE, Set.of(), List.of());
    }

    /**
     * Returns the tokens that holders have drawn and not returned; they count against the paid
     * tokens.
     */
    public long drawn() {
        long sum = closed.drawn();
        for (HolderRecord holder : holders.values()) {
            sum += holder.drawn();
        }
        return sum;
    }

    /** Returns the tokens that can still be granted. */
    public long available() {
        return paid - drawn();
    }

    /** Returns the settled tokens, as reported by the holders. */
    public long settled() {
        long sum = closed.spent();
        for (HolderRecord holder : holders.values()) {
            sum += holder.spent();
        }
        return sum;
    }

    /** Returns the tokens that count as spent although no holder reported them. */
    public long writtenOff() {
        long sum = closed.outstanding();
        for (HolderRecord holder : holders.values()) {
            sum += holder.lost();
        }
        return sum;
    }

    /** Returns the tokens that some holder may still spend, including those not granted yet. */
    public long unspent() {
        return paid - settled() - writtenOff();
    }

    /**
     * Returns the record with other holders, and with {@code paid} lowered as far as the target
     * allows.
     */
    public BudgetRecord withHolders(Map<HolderId, HolderRecord> changed, HolderRecord nowClosed) {
        return new BudgetRecord(paid, target, changed, nowClosed, openTopUps, changes)
                .lowerTowardsTarget();
    }

    /** Returns the record with a top-up and its id added. */
    public BudgetRecord withTopUp(String topUpId, long tokens) {
        Set<String> ids = new TreeSet<>(openTopUps);
        ids.add(topUpId);
        OptionalLong raised =
                target.isPresent() ? OptionalLong.of(target.getAsLong() + tokens) : target;
        return new BudgetRecord(paid + tokens, raised, holders, closed, ids, changes)
                .lowerTowardsTarget();
    }

    /** Returns the record without the ids of top-ups whose own objects are marked as added. */
    public BudgetRecord withoutTopUps(Set<String> recorded) {
        Set<String> ids = new TreeSet<>(openTopUps);
        ids.removeAll(recorded);
        return new BudgetRecord(paid, target, holders, closed, ids, changes);
    }

    /**
     * Returns the record with {@code paid} set to a new value, or lowered only as far as the drawn
     * tokens allow.
     */
    public BudgetRecord withPaid(long newPaid, String change) {
        List<String> all = new java.util.ArrayList<>(changes);
        all.add(change);
        List<String> kept = all.subList(Math.max(0, all.size() - MAX_CHANGES), all.size());
        return new BudgetRecord(paid, OptionalLong.of(newPaid), holders, closed, openTopUps, kept)
                .lowerTowardsTarget();
    }

    private BudgetRecord lowerTowardsTarget() {
        if (target.isEmpty()) {
            return this;
        }
        long lowered = Math.max(target.getAsLong(), drawn());
        OptionalLong remaining = lowered == target.getAsLong() ? OptionalLong.empty() : target;
        return new BudgetRecord(lowered, remaining, holders, closed, openTopUps, changes);
    }
}
