package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Distinguishes the crash of an upstream from a single connection that broke.
 *
 * <p>A connection breaks where a link resets it, an answer is lost or damaged, or its upstream
 * crashes. After a crash nobody listens at the upstream's address any more, which one new
 * connection finds out. Invariants: at most one is opened at a time for an upstream; the end of an
 * upstream that had said that it leaves is no crash. Confined to one event loop.
 */
final class CrashDetector {
    private final UpstreamPool mPool;
    private final Clock mClock;
    private final RelayLog mLog;
    private final Quarantine mQuarantine;
    private final Map<UpstreamIncarnation, Set<RequestDigest>> mProbed = new HashMap<>();

    CrashDetector(UpstreamPool pool, Clock clock, RelayLog log, Quarantine quarantine) {
        mPool = pool;
        mClock = clock;
        mLog = log;
        mQuarantine = quarantine;
    }

    /**
     * Looks whether an upstream has crashed, since a connection broke on which a request was in
     * progress.
     *
     * @param instance the upstream
     * @param digest the request
     */
    void onBroken(UpstreamInstance instance, RequestDigest digest) {
        if (instance.isLeaving()) {
            return;
        }
        UpstreamIncarnation crash = instance.incarnation();
        Set<RequestDigest> waiting = mProbed.get(crash);
        if (waiting != null) {
            waiting.add(digest);
            return;
        }
        mProbed.put(crash, new LinkedHashSet<>(Set.of(digest)));
        mPool.probe(
                instance.entry().address(),
                RelayBounds.CONNECT_TIMEOUT_MS,
                listens -> onProbed(crash, listens));
    }

    private void onProbed(UpstreamIncarnation crash, boolean listens) {
        Set<RequestDigest> requests = mProbed.remove(crash);
        if (!listens) {
            report(mClock.nowMs(), crash, requests);
        }
    }

    /**
     * Records a crash of an upstream whose entry tells a later start while a request was in
     * progress there.
     */
    void onStartedAgain(long nowMs, UpstreamInstance instance, RequestDigest digest) {
        if (!instance.isLeaving()) {
            report(nowMs, instance.incarnation(), Set.of(digest));
        }
    }

    private void report(long nowMs, UpstreamIncarnation crash, Set<RequestDigest> requests) {
        mQuarantine.onCrash(nowMs, crash, requests);
        mLog.believes(
                nowMs,
                "upstream-crashed",
                new LogFields()
                        .add("upstream", crash.upstream())
                        .add("born_ms", crash.bornMs())
                        .add("requests", requests.size()));
    }
}
