package org.hornbeampass.router.relay;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.util.Optional;

/**
 * A caller's question which addresses to use.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param host the host to which the caller sends its requests
 * @param region the caller's region, if it is stated
 * @param domain the caller's failure domain, if it is stated
 */
public record AddressRequest(
        String host, Optional<Region> region, Optional<FailureDomain> domain) {}
