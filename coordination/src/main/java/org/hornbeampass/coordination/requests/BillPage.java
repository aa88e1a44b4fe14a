package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.requests.Bill;

import java.util.List;
import java.util.Optional;

/**
 * One page of an organisation's bills, without duplicates.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param bills the bills in the order of their admission
 * @param next where the next page starts; empty on the last page
 */
public record BillPage(List<Bill> bills, Optional<String> next) {
    /** Copies the list. */
    public BillPage {
        bills = List.copyOf(bills);
    }
}
