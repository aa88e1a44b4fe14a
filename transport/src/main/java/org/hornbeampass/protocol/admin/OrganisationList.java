package org.hornbeampass.protocol.admin;

import java.util.List;
import java.util.Optional;

/**
 * One page of organisations.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the organisations in the order of their names
 * @param next the name after which the next page starts; empty on the last page
 */
public record OrganisationList(List<OrganisationView> items, Optional<String> next) {
    /** Copies the list. */
    public OrganisationList {
        items = List.copyOf(items);
    }
}
