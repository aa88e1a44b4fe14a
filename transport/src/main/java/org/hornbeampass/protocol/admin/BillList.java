package org.hornbeampass.protocol.admin;

import java.util.List;
import java.util.Optional;

/**
 * One page of an organisation's bills.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the bills in a stable order
 * @param next where the next page starts; empty on the last page
 */
public record BillList(List<BillView> items, Optional<String> next) {
    /** Copies the list. */
    public BillList {
        items = List.copyOf(items);
    }
}
