package org.hornbeampass.state.service;

import java.util.List;
import java.util.OptionalLong;

/**
 * An organisation with its keys and its prepaid tokens.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param keys the API keys of its callers
 * @param priority its priority, which takes precedence over that of the route; 0 is the most urgent
 * @param prepaidTokens the total number of tokens that it may use, not an increment; empty if its
 *     use is unlimited
 * @param homes the regions in which its requests may run
 */
public record PrepaidOrganisation(
        String name,
        List<String> keys,
        int priority,
        OptionalLong prepaidTokens,
        HomeRegions homes) {
    /** Creates an organisation whose requests may run in any region. */
    public PrepaidOrganisation(
            String name, List<String> keys, int priority, OptionalLong prepaidTokens) {
        this(name, keys, priority, prepaidTokens, HomeRegions.ANY);
    }

    /** Copies the list. */
    public PrepaidOrganisation {
        keys = List.copyOf(keys);
    }
}
