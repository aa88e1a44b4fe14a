package org.hornbeampass.coordination.capacity;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.service.HomeRegions;

import java.util.Optional;

/**
 * A caller that asks for addresses.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param homes the regions in which its requests may run
 * @param region its region, if known
 * @param domain its failure domain, if known
 */
public record AddressCaller(
        HomeRegions homes, Optional<Region> region, Optional<FailureDomain> domain) {}
