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
 * Distinguishes the crash of an upstream from the loss of a single connection.
 *
 * <p>A connection is lost where a link resets it, an answer is lost or damaged, or its upstream
 * crashes. After a crash nothing listens at the upstream's address any more, which opening one new
 * connection (a probe) shows. Invariants: at most one probe per upstream is open at a time; the end
 * of an upstream that had announced that it is leaving is not a crash. Confined to one event loop.
 */
final class CrashDetector {
    private final UpstreamPool mPool;
    private final Clock mClock;
    private final RelayLog mLog;
    private final Quarantine mQuarantine;
    private final Map<UpstreamIncarnation, Set<RequestDigest>> mPendingProbes = new HashMap<>();

    CrashDetector(UpstreamPool pool, Clock clock, RelayLog log, Quarantine quarantine) {
        mPool = pool;
        mClock = clock;
        mLog = log;
        mQuarantine = quarantine;
    }

    /**
     * Checks whether an upstream has crashed, after a connection was lost on which a request was in
     * flight.
     *
     * @param instance the upstream
     * @param digest the digest of the request
     */
    void onConnectionLost(UpstreamInstance instance, RequestDigest digest) {
        if (instance.isLeaving()) {
            return;
        }
        UpstreamIncarnation incarnation = instance.incarnation();
        Set<RequestDigest> pending = mPendingProbes.get(incarnation);
        if (pending != null) {
            pending.add(digest);
            return;
        }
        mPendingProbes.put(incarnation, new LinkedHashSet<>(Set.of(digest)));
        mPool.probe(
                instance.entry().address(),
                RelayBounds.CONNECT_TIMEOUT_MS,
                listens -> onProbed(incarnation, listens));
    }

    private void onProbed(UpstreamIncarnation incarnation, boolean listening) {
        Set<RequestDigest> requests = mPendingProbes.remove(incarnation);
        if (!listening) {
            report(mClock.nowMs(), incarnation, requests);
        }
    }

    /**
     * Records a crash of an upstream whose registered entry shows a later start while a request was
     * in flight there.
     */
    void onRestarted(long nowMs, UpstreamInstance instance, RequestDigest digest) {
        if (!instance.isLeaving()) {
            report(nowMs, instance.incarnation(), Set.of(digest));
        }
    }

    private void report(long nowMs, UpstreamIncarnation incarnation, Set<RequestDigest> requests) {
        mQuarantine.onCrash(nowMs, incarnation, requests);
        mLog.logStateChange(
                nowMs,
                "upstream-crashed",
                new LogFields()
                        .add("upstream", incarnation.upstream())
                        .add("born_ms", incarnation.bornMs())
                        .add("requests", requests.size()));
    }
}
