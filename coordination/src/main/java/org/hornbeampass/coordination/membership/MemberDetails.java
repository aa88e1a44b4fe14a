package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

/**
 * Addresses and location of a VM, which never change within an incarnation.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param httpAddress where callers connect
 * @param peerAddress where other routers connect
 * @param region its region
 * @param domain its failure domain
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MemberDetails(
        String httpAddress, String peerAddress, Region region, FailureDomain domain) {
    int encodedBytes() {
        return 5
                + httpAddress.length()
                + peerAddress.length()
                + region.value().length()
                + domain.value().length();
    }
}
