package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetKey;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Shows where the tokens of one budget are, according to the platform's record.
 *
 * <p>Invariant: {@code paid = available + settled + reserved + free + lent + writtenOff}. Immutable
 * and thread-safe.
 *
 * @param key the budget
 * @param paid the tokens paid for and not refunded
 * @param available the tokens not granted to any VM
 * @param settled the tokens reported as spent
 * @param reserved the tokens reported as reserved for requests in progress
 * @param free the tokens granted to VMs and reported as neither spent nor reserved
 * @param lent the granted tokens not reported as any of these: in transit between VMs, or spent
 *     since the last report
 * @param writtenOff the tokens counted as spent because the VM that held them is known to be gone
 * @param target the value to which {@code paid} is being lowered, if holders still hold more than
 *     that
 * @param outstanding the tokens granted and not settled, by open holder
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

    /** Returns whether the parts add up to the paid tokens. */
    public boolean reconciles() {
        return paid == available + settled + reserved + free + lent + writtenOff;
    }
}
