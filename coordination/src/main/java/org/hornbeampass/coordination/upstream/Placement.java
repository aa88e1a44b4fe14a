package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.util.Objects;

/**
 * Names a VM and says where it is, from its settings.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vmName the VM's name
 * @param domain its failure domain
 * @param region its region
 */
public record Placement(String vmName, FailureDomain domain, Region region) {
    /** Checks that no part is missing. */
    public Placement {
        Objects.requireNonNull(vmName, "vmName");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(region, "region");
    }
}
