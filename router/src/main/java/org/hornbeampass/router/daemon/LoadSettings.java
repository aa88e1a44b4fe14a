package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.admission.AdmissionSettings;
import org.hornbeampass.coordination.capacity.VmCapacity;
import org.hornbeampass.router.relay.IntakeSettings;
import org.hornbeampass.transport.UpstreamLimits;

import java.util.Optional;

/**
 * The settings for uneven VMs, uneven upstreams and scarce capacity; each part is off where its
 * settings are absent, except the bounds on input, which have defaults.
 *
 * <p>Immutable; safe for use by any thread. Documented field by field in docs/SETTINGS.md.
 *
 * @param capacity what the VM can carry; empty if answers about addresses do not depend on it
 * @param admission how requests wait for the capacity of a service; empty if they don't
 * @param routing what the choice of an upstream learns and weighs; empty if it uses fixed values
 * @param upstreamLimits the bounds on input that never completes an answer
 * @param refuseByBacklog whether requests are refused by the VM's backlog and their urgency, which
 *     needs the capacity
 * @param pauseIntake whether new connections are refused while the VM is too late
 * @param bufferBytes the most bytes that are held for all slow readers together; 0 if not set, so
 *     that it follows from the memory that the capacity states, if any
 */
public record LoadSettings(
        Optional<VmCapacity> capacity,
        Optional<AdmissionSettings> admission,
        Optional<Routing> routing,
        UpstreamLimits upstreamLimits,
        boolean refuseByBacklog,
        boolean pauseIntake,
        long bufferBytes) {
    /**
     * The part of its memory that a VM may hold for slow readers where no bound is set: half of
     * what its connections may hold, since a buffer may be larger than the bytes in it.
     */
    private static final long MEMORY_PARTS = 8;

    private static final long BYTES_PER_MB = 1_000_000;

    /** No part is on. */
    public static final LoadSettings NONE =
            new LoadSettings(Optional.empty(), Optional.empty(), Optional.empty());

    /** Creates settings with the default bounds on input, and neither refusals nor pauses. */
    public LoadSettings(
            Optional<VmCapacity> capacity,
            Optional<AdmissionSettings> admission,
            Optional<Routing> routing) {
        this(capacity, admission, routing, UpstreamLimits.DEFAULT, false, false, 0);
    }

    /** Returns what decides whether requests are taken in. */
    IntakeSettings intake() {
        return new IntakeSettings(refusesByBacklog(), heldBytesBound());
    }

    private long heldBytesBound() {
        if (bufferBytes > 0) {
            return bufferBytes;
        }
        return capacity.map(c -> c.memoryMb() * BYTES_PER_MB / MEMORY_PARTS).orElse(0L);
    }

    /**
     * Returns whether requests are refused by backlog. Only then are answers written before new
     * requests are handed over, since the requests that wait for that don't delay the event loop,
     * by which the other gate decides.
     */
    boolean refusesByBacklog() {
        return capacity.isPresent() && refuseByBacklog;
    }

    /**
     * What the choice of an upstream weighs.
     *
     * @param crossDomainMs the cost of an upstream in another failure domain, in milliseconds
     */
    public record Routing(double crossDomainMs) {}
}
