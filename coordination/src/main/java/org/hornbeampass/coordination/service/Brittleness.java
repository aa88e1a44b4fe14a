package org.hornbeampass.coordination.service;

/**
 * What an upstream states that crashes when it must reject too many requests in a second, and what
 * one VM may send to it.
 *
 * <p>The VMs share the rejections and the places evenly. Immutable; safe for use by any thread.
 *
 * @param maxRejectionsPerS the rejections in a second that it survives
 */
record Brittleness(double maxRejectionsPerS) {
    /** The fraction of the rejections that the VMs together may cause. */
    private static final double USED_FRACTION = 0.5;

    /** The fewest rejections in a second on which a hold is based. */
    private static final double MIN_REJECTIONS_PER_S = 0.1;

    /** The longest hold for one rejection, in milliseconds. */
    private static final double MAX_HOLD_MS = 10_000;

    private static final double SECOND_MS = 1_000;

    /**
     * Returns how long a VM sends nothing for one rejection, in milliseconds, so that all VMs
     * together cause few enough.
     *
     * @param vms the number of VMs
     */
    long holdMs(int vms) {
        double perVm = USED_FRACTION * Math.max(MIN_REJECTIONS_PER_S, maxRejectionsPerS) / vms;
        return (long) Math.ceil(Math.min(MAX_HOLD_MS, SECOND_MS / perVm));
    }

    /**
     * Returns whether one more request may be sent: a place is free, or may be free in the queue,
     * and all VMs that think so at once cause few enough rejections.
     *
     * @param slots the upstream's places
     * @param own this VM's requests in progress there
     * @param others the requests in progress there that other VMs reported
     * @param vms the number of VMs
     */
    boolean maySend(int slots, int own, int others, int vms) {
        double rejections = USED_FRACTION * maxRejectionsPerS;
        double share = Math.max(1, Math.ceil((double) slots / vms) + Math.floor(rejections / vms));
        return own < share && own + others < Math.max(1, slots + Math.floor(rejections));
    }
}
