package org.hornbeampass.coordination.address;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.List;

/**
 * Addresses that a caller should use, best first, and how long the caller may keep them.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param addresses the addresses; empty only if no VM accepts requests
 * @param keepMs how long to keep the answer, in milliseconds
 */
public record AddressAnswer(List<VmAddress> addresses, long keepMs) {
    /** Copies the list. */
    public AddressAnswer {
        addresses = List.copyOf(addresses);
    }

    /**
     * One VM's address.
     *
     * @param vm the VM
     * @param httpAddress where to connect, as {@code host:port}
     * @param region its region
     * @param domain its failure domain
     */
    public record VmAddress(VmId vm, String httpAddress, Region region, FailureDomain domain) {
        static VmAddress of(Member member) {
            return new VmAddress(
                    member.vm(), member.httpAddress(), member.region(), member.domain());
        }
    }
}
