package org.hornbeampass.coordination.capacity;

import java.util.Optional;

/**
 * Determines the utilisation of one VM, for loads under which VMs of different capacity receive
 * more than they can carry.
 *
 * <p>The processor's utilisation is the largest of the processor time that was used, the accepted
 * requests times their learnt cost, which also shows demand beyond the capacity, and the delay of
 * the event loop. All values are smoothed over {@link #SMOOTHING_MS}. Confined to one thread.
 */
public final class UtilisationMeter {
    static final double SECOND_MS = 1_000;
    private static final double SECOND_NS = 1e9;
    private static final double BITS_PER_MEGABIT = 1e6;
    private static final int BITS_PER_BYTE = 8;
    private static final double BYTES_PER_MB = 1e6;

    /** The time constant of the smoothing, in milliseconds. */
    private static final double SMOOTHING_MS = 2_000;

    /**
     * The delay of the event loop at which the processor counts as saturated, in milliseconds. A
     * processor share is enforced in periods of 100 ms, so one that is used up delays by less.
     */
    private static final double SATURATED_DELAY_MS = 100;

    /**
     * The largest utilisation that the delay of the event loop states. It tells that the processor
     * is saturated, not by how much; a larger one would let shares oscillate.
     */
    private static final double MAX_DELAY_UTILISATION = 1.25;

    /**
     * The fraction of a VM's memory that connections may hold; the program itself needs the rest.
     */
    private static final double CONNECTION_MEMORY_FRACTION = 0.25;

    /** The largest utilisation that is stated; beyond it, differences don't matter. */
    private static final double MAX_UTILISATION = 2;

    private final VmCapacity mCapacity;
    private final RequestCost mCost = new RequestCost();
    private Optional<LoadSample> mLast = Optional.empty();
    private long mLastMs;
    private Utilisation mUtilisation = Utilisation.NONE;

    /** Creates the meter of a VM with the given capacity. */
    public UtilisationMeter(VmCapacity capacity) {
        mCapacity = capacity;
    }

    /** Returns the capacity of the VM. */
    public VmCapacity capacity() {
        return mCapacity;
    }

    /** Returns the smoothed utilisation. */
    public Utilisation utilisation() {
        return mUtilisation;
    }

    /** Returns the learnt processor time of one request in seconds; 0 while it is unknown. */
    public double requestSeconds() {
        return mCost.seconds();
    }

    /**
     * Records a sample.
     *
     * @param nowMs the present time in milliseconds; a sample of the same time is ignored
     * @param sample what the VM has done until now
     */
    public void record(long nowMs, LoadSample sample) {
        if (mLast.isEmpty()) {
            mLast = Optional.of(sample);
            mLastMs = nowMs;
            return;
        }
        double ms = nowMs - mLastMs;
        if (ms <= 0) {
            return;
        }
        Utilisation present = present(ms, mLast.get(), sample);
        double weight = 1 - Math.exp(-ms / SMOOTHING_MS);
        mUtilisation =
                new Utilisation(
                        smooth(mUtilisation.processor(), present.processor(), weight),
                        smooth(mUtilisation.link(), present.link(), weight),
                        smooth(mUtilisation.memory(), present.memory(), weight));
        mLast = Optional.of(sample);
        mLastMs = nowMs;
    }

    private static double smooth(double before, double present, double weight) {
        return before + weight * (Math.min(MAX_UTILISATION, present) - before);
    }

    private Utilisation present(double ms, LoadSample last, LoadSample sample) {
        double seconds = ms / SECOND_MS;
        double requests = sample.requests() - last.requests();
        double used = 0;
        if (sample.processorNs() >= 0 && last.processorNs() >= 0) {
            used = (sample.processorNs() - last.processorNs()) / SECOND_NS;
            mCost.record(ms, requests, used, mCapacity.cores());
        }
        double asked = Math.max(used, requests * mCost.seconds());
        double late = Math.min(MAX_DELAY_UTILISATION, sample.loopDelayMs() / SATURATED_DELAY_MS);
        double bytes =
                Math.max(
                        sample.bytesRead() - last.bytesRead(),
                        sample.bytesWritten() - last.bytesWritten());
        double megabits = bytes * BITS_PER_BYTE / BITS_PER_MEGABIT;
        double memory = CONNECTION_MEMORY_FRACTION * mCapacity.memoryMb() * BYTES_PER_MB;
        return new Utilisation(
                Math.max(asked / seconds / mCapacity.cores(), late),
                megabits / seconds / mCapacity.linkMbps(),
                sample.heldBytes() / memory);
    }
}
