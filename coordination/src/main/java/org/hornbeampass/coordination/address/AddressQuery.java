package org.hornbeampass.coordination.address;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;

import java.util.Objects;
import java.util.Optional;

/**
 * Request of a caller for addresses to use.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the caller's organisation, if known
 * @param domain the failure domain near the caller, if known
 * @param region the region near the caller, if known
 */
public record AddressQuery(
        Optional<OrganisationId> organisation,
        Optional<FailureDomain> domain,
        Optional<Region> region) {
    /** Checks that no component is null. */
    public AddressQuery {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(region, "region");
    }

    /** Returns a query without organisation, failure domain and region. */
    public static AddressQuery any() {
        return new AddressQuery(Optional.empty(), Optional.empty(), Optional.empty());
    }
}
