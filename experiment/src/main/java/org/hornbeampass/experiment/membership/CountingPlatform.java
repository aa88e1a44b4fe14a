package org.hornbeampass.experiment.membership;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.member.Member;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * A platform in virtual time that answers in milliseconds and counts its calls by kind.
 *
 * <p>Not thread-safe: one thread runs an experiment.
 */
final class CountingPlatform {
    private static final int LEG_MS = 3;
    private static final int TIMEOUT_MS = 1_000;

    private final EventQueue mEvents;
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Map<PlatformCall.Kind, Long> mCalls = new EnumMap<>(PlatformCall.Kind.class);
    private final Set<Region> mCutOff = new HashSet<>();
    private int mWaiting;

    CountingPlatform(EventQueue events) {
        mEvents = events;
    }

    long calls(PlatformCall.Kind kind) {
        return mCalls.getOrDefault(kind, 0L);
    }

    /** Returns how many watches wait now. */
    int waitingWatches() {
        return mWaiting;
    }

    void cutOff(Region region) {
        mCutOff.add(region);
    }

    Platform connect(Member self) {
        return (nowMs, call, done) -> submit(self, call, done);
    }

    private void submit(Member self, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        if (mCutOff.contains(self.region())) {
            mEvents.after(
                    TIMEOUT_MS, t -> done.accept(t, new PlatformReply.Unavailable("cut off")));
            return;
        }
        mCalls.merge(call.kind(), 1L, Long::sum);
        mEvents.after(LEG_MS, t -> arrive(t, call, done));
    }

    private void arrive(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        boolean watch = call instanceof PlatformCall.Watch;
        if (call instanceof PlatformCall.Watch w) {
            mWaiting++;
            mEvents.after(w.maxWait().toMillis(), mStore::expireWatches);
        }
        mStore.submit(
                nowMs,
                call,
                (t, reply) -> {
                    mWaiting -= watch ? 1 : 0;
                    mEvents.after(LEG_MS, at -> done.accept(at, reply));
                });
    }
}
