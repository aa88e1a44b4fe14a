package org.hornbeampass.experiment.fleet;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.router.daemon.LinkFaults;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Which links of a fleet's routers are cut now.
 *
 * <p>Invariant: a link is cut while at least one cut of it has not been mended, so that cuts may
 * overlap. A call to a cut platform, or whose reply comes while it is cut, ends without a known
 * effect at its timeout. Thread-safe.
 */
public final class LinkTable implements AutoCloseable {
    private static final long PLATFORM_TIMEOUT_MS = 2_000;

    private final Map<Link, Integer> mCuts = new ConcurrentHashMap<>();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();

    /** A link in one direction. */
    private record Link(String from, String to) {}

    /** The name under which the platform stands in links. */
    private static final String PLATFORM = "platform";

    /** Cuts or mends the links from some routers to others. */
    public void setCut(Collection<String> from, Collection<String> to, boolean cut) {
        for (String one : from) {
            for (String other : to) {
                if (!one.equals(other)) {
                    change(new Link(one, other), cut);
                }
            }
        }
    }

    /** Cuts or mends the links between routers and the platform. */
    public void setPlatformCut(Collection<String> routers, boolean cut) {
        routers.forEach(router -> change(new Link(router, PLATFORM), cut));
    }

    private void change(Link link, boolean cut) {
        mCuts.merge(link, cut ? 1 : -1, (had, step) -> had + step <= 0 ? null : had + step);
    }

    private boolean open(String from, String to) {
        return !mCuts.containsKey(new Link(from, to));
    }

    /** Returns the hooks of one router. */
    LinkFaults hooks(String vmName) {
        return new LinkFaults() {
            @Override
            public Platform platform(Platform platform) {
                return (nowMs, call, done) -> submit(vmName, platform, nowMs, call, done);
            }

            @Override
            public boolean deliversTo(String other) {
                return open(vmName, other);
            }

            @Override
            public boolean receivesFrom(String other) {
                return open(other, vmName);
            }
        };
    }

    private void submit(
            String vmName,
            Platform platform,
            long nowMs,
            PlatformCall call,
            BiConsumer<Long, PlatformReply> done) {
        if (!open(vmName, PLATFORM)) {
            timeOut(nowMs, done);
            return;
        }
        platform.submit(
                nowMs,
                call,
                (at, reply) -> {
                    if (open(vmName, PLATFORM)) {
                        done.accept(at, reply);
                    } else {
                        timeOut(at, done);
                    }
                });
    }

    private void timeOut(long nowMs, BiConsumer<Long, PlatformReply> done) {
        long atMs = nowMs + PLATFORM_TIMEOUT_MS;
        ScheduledFuture<?> unused =
                mTimer.schedule(
                        () -> done.accept(atMs, new PlatformReply.Unavailable("link cut")),
                        PLATFORM_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
