package org.hornbeampass.state.service;

import java.util.List;
import java.util.OptionalLong;

/**
 * An organisation with its keys and its prepaid tokens.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param keys the keys that its callers show
 * @param priority its rank, which goes before that of the route; 0 is the most urgent
 * @param prepaidTokens how many tokens it may use in all; a level, not an increment; empty where
 *     its use is not bounded
 */
public record PrepaidOrganisation(
        String name, List<String> keys, int priority, OptionalLong prepaidTokens) {
    /** Copies the list. */
    public PrepaidOrganisation {
        keys = List.copyOf(keys);
    }
}
