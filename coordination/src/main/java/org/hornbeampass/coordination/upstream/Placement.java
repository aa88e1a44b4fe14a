package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.util.Objects;

/**
 * A VM's name and location, from its settings.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vmName the VM's name
 * @param domain its failure domain
 * @param region its region
 */
public record Placement(String vmName, FailureDomain domain, Region region) {
    /** Rejects null components. */
    public Placement {
        Objects.requireNonNull(vmName, "vmName");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(region, "region");
    }
}
