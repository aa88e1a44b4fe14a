package org.hornbeampass.coordination.ratelimit;

import java.util.List;

/**
 * Determines which VMs issue the permits of an upstream in its slow start.
 *
 * <p>Confined to one thread.
 */
public interface SlowStartIssuers {
    /**
     * Returns the VMs that issue an upstream's permits; empty while this VM does not know enough
     * members of the fleet. VMs that are unreachable or gone stay among them, so that the two parts
     * of a divided fleet do not each choose issuers of their own.
     */
    List<String> issuersOf(String upstream);

    /** Returns whether a VM can be asked. */
    boolean isLive(String vm);

    /** Returns this VM's name. */
    String self();
}
