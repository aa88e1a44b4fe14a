package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.Faults;
import org.hornbeampass.standin.platform.CallFate.Outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides the fate of each platform call: outage windows first, then the faults that are set.
 *
 * <p>Lost replies and late effects strike writes only, all other faults strike every call. The same
 * seed and order of calls give the same fates. Thread-safe: one lock guards the windows, taken
 * before that of {@link Faults}.
 */
public final class FaultPlan {
    private final Object mLock = new Object();
    private final Faults<PlatformFault> mFaults;
    private final List<Outage> mOutages = new ArrayList<>();

    /** A window in which no call has an effect. */
    private record Outage(long fromMs, long untilMs, Outcome outcome) {
        boolean holds(long nowMs) {
            return nowMs >= fromMs && nowMs < untilMs;
        }
    }

    /** Creates a plan without faults. */
    public FaultPlan(long seed) {
        mFaults = new Faults<>(PlatformFault.class, seed);
    }

    /** Returns the faults, to set and clear. */
    public Faults<PlatformFault> faults() {
        return mFaults;
    }

    /**
     * Adds an outage.
     *
     * @param fromMs its first millisecond
     * @param untilMs the first millisecond after it
     * @param refused whether callers are refused at once instead of seeing nothing
     */
    public void addOutage(long fromMs, long untilMs, boolean refused) {
        synchronized (mLock) {
            mOutages.add(new Outage(fromMs, untilMs, refused ? Outcome.REFUSE : Outcome.SILENT));
        }
    }

    /** Removes all outages. */
    public void clearOutages() {
        synchronized (mLock) {
            mOutages.clear();
        }
    }

    /** Removes all outages and faults. */
    public void clear() {
        clearOutages();
        mFaults.clear();
    }

    /** Decides the fate of a call that arrives now. */
    public CallFate fate(long nowMs, PlatformCall call) {
        Optional<Outcome> outage = outageAt(nowMs);
        if (outage.isPresent()) {
            return new CallFate(outage.get(), 0);
        }
        if (mFaults.take(PlatformFault.REFUSE).isPresent()) {
            return new CallFate(Outcome.REFUSE, 0);
        }
        if (mFaults.take(PlatformFault.THROTTLE).isPresent()) {
            return new CallFate(Outcome.THROTTLE, 0);
        }
        if (mFaults.take(PlatformFault.SILENT).isPresent()) {
            return new CallFate(Outcome.SILENT, 0);
        }
        return fateOfEffect(call);
    }

    private CallFate fateOfEffect(PlatformCall call) {
        long delayMs = mFaults.take(PlatformFault.SLOW).map(FaultRule::wholeAmount).orElse(0L);
        if (call.kind() != PlatformCall.Kind.WRITE) {
            return new CallFate(Outcome.ANSWER, delayMs);
        }
        if (mFaults.take(PlatformFault.LOSE_REPLY).isPresent()) {
            return new CallFate(Outcome.LOSE_REPLY, delayMs);
        }
        Optional<FaultRule> late = mFaults.take(PlatformFault.LATE_EFFECT);
        if (late.isPresent()) {
            return new CallFate(Outcome.LATE_EFFECT, delayMs + late.get().wholeAmount());
        }
        return new CallFate(Outcome.ANSWER, delayMs);
    }

    private Optional<Outcome> outageAt(long nowMs) {
        synchronized (mLock) {
            return mOutages.stream().filter(o -> o.holds(nowMs)).map(Outage::outcome).findFirst();
        }
    }
}
