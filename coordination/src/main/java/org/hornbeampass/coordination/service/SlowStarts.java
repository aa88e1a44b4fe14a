package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.ServiceSpec.SlowStart;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The upstreams in their slow start, which take only a few requests per second from the whole
 * fleet.
 *
 * <p>Invariant: an upstream counts as cold at least as long as it is, since what is reported about
 * the time left ages on its way. Confined to one thread.
 */
public final class SlowStarts {
    /**
     * An upstream in its slow start.
     *
     * @param service its service; empty where only another VM has reported it
     * @param untilMs when it ends, in milliseconds
     * @param reportedPerSecond its rate as another VM reported it; 0 where none did
     */
    private record Cold(Optional<String> service, long untilMs, double reportedPerSecond) {}

    private final Map<String, SlowStart> mByService = new HashMap<>();
    private final Map<UpstreamIncarnation, Cold> mCold = new HashMap<>();

    /** Sets the services, whose slow starts apply from now on. */
    public void setServices(List<ServiceSpec> services) {
        mByService.clear();
        services.forEach(s -> s.slowStart().ifPresent(start -> mByService.put(s.name(), start)));
    }

    /**
     * Applies the time left that an upstream's newest entry or answer states.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param leftMs the rest of its slow start, in milliseconds; 0 where it is not in one
     */
    public void onStated(long nowMs, UpstreamInstance instance, long leftMs) {
        UpstreamIncarnation upstream = instance.incarnation();
        if (leftMs <= 0) {
            mCold.remove(upstream);
            return;
        }
        mCold.put(upstream, new Cold(Optional.of(instance.entry().service()), nowMs + leftMs, 0));
    }

    /** Treats an upstream that has started during traffic as cold for a whole slow start. */
    void onStarted(long nowMs, UpstreamInstance instance) {
        SlowStart start = mByService.get(instance.entry().service());
        if (start != null) {
            extend(nowMs, instance, start.durationMs());
        }
    }

    /** Treats an upstream as cold for some milliseconds, until its next entry is known. */
    void onSuspected(long nowMs, UpstreamInstance instance, long forMs) {
        SlowStart start = mByService.get(instance.entry().service());
        if (start != null) {
            extend(nowMs, instance, Math.min(forMs, start.durationMs()));
        }
    }

    private void extend(long nowMs, UpstreamInstance instance, long leftMs) {
        long untilMs = Math.max(nowMs + leftMs, untilMs(instance.incarnation()));
        mCold.put(
                instance.incarnation(),
                new Cold(Optional.of(instance.entry().service()), untilMs, 0));
    }

    private long untilMs(UpstreamIncarnation upstream) {
        Cold cold = mCold.get(upstream);
        return cold == null ? Long.MIN_VALUE : cold.untilMs();
    }

    /** Applies what another VM reports when it asks for a permit. */
    public void onReported(
            long nowMs, UpstreamIncarnation upstream, double perSecond, long leftMs) {
        if (leftMs <= 0 || nowMs + leftMs <= untilMs(upstream)) {
            return;
        }
        Cold known = mCold.get(upstream);
        Optional<String> service = known == null ? Optional.empty() : known.service();
        mCold.put(upstream, new Cold(service, nowMs + leftMs, perSecond));
    }

    /** Returns the rest of an upstream's slow start in milliseconds; 0 where it is not in one. */
    public long leftMs(long nowMs, UpstreamIncarnation upstream) {
        Cold cold = mCold.get(upstream);
        return cold == null ? 0 : Math.max(0, cold.untilMs() - nowMs);
    }

    /**
     * Returns how many requests per second an upstream in its slow start takes from all VMs; empty
     * where it is not in one.
     */
    public OptionalDouble perSecond(long nowMs, UpstreamIncarnation upstream) {
        if (leftMs(nowMs, upstream) == 0) {
            return OptionalDouble.empty();
        }
        Cold cold = mCold.get(upstream);
        Optional<SlowStart> start = cold.service().map(mByService::get);
        double perSecond = start.map(SlowStart::perSecond).orElse(cold.reportedPerSecond());
        return perSecond > 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
    }

    /** Returns whether an upstream is in its slow start. */
    boolean isCold(long nowMs, UpstreamIncarnation upstream) {
        return perSecond(nowMs, upstream).isPresent();
    }

    /** Returns the number of upstreams in their slow start. */
    public int size() {
        return mCold.size();
    }

    /** Removes upstreams whose slow start is over. */
    void tick(long nowMs) {
        mCold.values().removeIf(c -> nowMs >= c.untilMs());
    }
}
