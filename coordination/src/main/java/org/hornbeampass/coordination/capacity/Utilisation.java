package org.hornbeampass.coordination.capacity;

/**
 * How much of a VM's capacity is used, by resource, as fractions; above 1 where more is asked for
 * than the VM can carry.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param processor the fraction of the processor time
 * @param link the fraction of the link in the busier direction
 * @param memory the fraction of the memory for connections of callers and upstreams
 */
public record Utilisation(double processor, double link, double memory) {
    /** Nothing is used. */
    public static final Utilisation NONE = new Utilisation(0, 0, 0);

    /** Returns the fraction of the resource that limits the VM. */
    public double largest() {
        return Math.max(processor, Math.max(link, memory));
    }
}
