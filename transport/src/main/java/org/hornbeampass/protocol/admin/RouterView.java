package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

/**
 * One router as the answering router sees it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vm the VM and its incarnation
 * @param state how the answering router counts it, such as {@code ALIVE} or {@code LEAVING}
 * @param address where callers connect
 * @param domain its failure domain
 * @param region its region
 * @param revision the newest configuration revision that it is known to run
 */
public record RouterView(
        VmId vm,
        String state,
        String address,
        FailureDomain domain,
        Region region,
        long revision) {}
