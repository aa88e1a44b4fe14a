package org.hornbeampass.state.member;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Router VM in the platform's list, which lags behind.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vm its name and incarnation
 * @param httpAddress where callers connect, as {@code host:port}
 * @param peerAddress where other routers connect, as {@code host:port}
 * @param region its region
 * @param domain its failure domain
 * @param leaving whether the platform is about to stop it
 */
public record ListedVm(
        VmId vm,
        String httpAddress,
        String peerAddress,
        Region region,
        FailureDomain domain,
        boolean leaving) {
    /** Checks that no component is null. */
    public ListedVm {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(domain, "domain");
    }
}
