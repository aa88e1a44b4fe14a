package org.hornbeampass.coordination.admission;

/** Decides how many requests of one VM may be in progress at a service that all VMs share. */
@FunctionalInterface
public interface PlaceLimit {
    /**
     * Returns how many requests of this VM may be in progress.
     *
     * @param nowMs the present time in milliseconds
     * @param capacity how many requests of all VMs may be in progress
     * @param inFlight the requests in progress of all VMs, as far as they are known
     * @param own those of this VM
     */
    int places(long nowMs, int capacity, int inFlight, int own);
}
