package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetKey;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Where the tokens of one budget are, by the platform's record.
 *
 * <p>Invariant: {@code paid = available + settled + reserved + free + lent + writtenOff}.
 * Immutable; safe for use by any thread.
 *
 * @param key the budget
 * @param paid paid for and not taken back
 * @param available not granted to any VM
 * @param settled spent, as reported
 * @param reserved set aside for requests in progress, as reported
 * @param free granted to VMs and neither spent nor reserved, as reported
 * @param lent granted and not reported as any of these: on its way between VMs, or spent since
 * @param writtenOff counted as spent, since the VM that held it is proved gone
 * @param target what {@code paid} is being lowered to, where holders still hold more
 * @param outstanding granted and not settled, by open holder
 */
public record BudgetStatement(
        BudgetKey key,
        long paid,
        long available,
        long settled,
        long reserved,
        long free,
        long lent,
        long writtenOff,
        OptionalLong target,
        Map<HolderId, Long> outstanding) {
    /** Copies the map. */
    public BudgetStatement {
        outstanding = java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(outstanding));
    }

    /** Returns the statement of a record. */
    public static BudgetStatement of(BudgetKey key, BudgetRecord record) {
        long reserved = 0;
        long free = 0;
        long lent = 0;
        Map<HolderId, Long> outstanding = new java.util.TreeMap<>();
        for (Map.Entry<HolderId, HolderRecord> each : record.holders().entrySet()) {
            HolderRecord holder = each.getValue();
            long left = holder.outstanding() - holder.lost();
            long inReservation = Math.max(0, Math.min(holder.reserved(), left));
            long unused = Math.max(0, Math.min(holder.free(), left - inReservation));
            reserved += inReservation;
            free += unused;
            lent += left - inReservation - unused;
            outstanding.put(each.getKey(), holder.outstanding());
        }
        return new BudgetStatement(
                key,
                record.paid(),
                record.available(),
                record.settled(),
                reserved,
                free,
                lent,
                record.writtenOff(),
                record.target(),
                outstanding);
    }

    /** Returns whether the parts add up to what was paid. */
    public boolean reconciles() {
        return paid == available + settled + reserved + free + lent + writtenOff;
    }
}
