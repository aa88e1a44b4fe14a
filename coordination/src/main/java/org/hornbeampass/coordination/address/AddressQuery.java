package org.hornbeampass.coordination.address;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;

import java.util.Objects;
import java.util.Optional;

/**
 * A caller's question which addresses to use.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the caller's organisation, where it is known
 * @param domain the failure domain near the caller, where it is known
 * @param region the region near the caller, where it is known
 */
public record AddressQuery(
        Optional<OrganisationId> organisation,
        Optional<FailureDomain> domain,
        Optional<Region> region) {
    /** Checks that no part is missing. */
    public AddressQuery {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(region, "region");
    }

    /** Returns a question that names nothing. */
    public static AddressQuery any() {
        return new AddressQuery(Optional.empty(), Optional.empty(), Optional.empty());
    }
}
