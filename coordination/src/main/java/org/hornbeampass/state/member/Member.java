package org.hornbeampass.state.member;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Router VM with its addresses, its location and its state.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vm its name and incarnation
 * @param httpAddress where callers connect, as {@code host:port}
 * @param peerAddress where other routers connect, as {@code host:port}
 * @param region its region
 * @param domain its failure domain
 * @param state its state as known to the VM that holds this value
 */
public record Member(
        VmId vm,
        String httpAddress,
        String peerAddress,
        Region region,
        FailureDomain domain,
        MemberState state) {
    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(state, "state");
    }

    /** Returns the VM's name. */
    public String name() {
        return vm.name();
    }
}
