package org.hornbeampass.router.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamReach;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Distinguishes the crash of an upstream from the loss of a single connection.
 *
 * <p>A connection is lost where a link resets it, an answer is lost or damaged, or its upstream
 * crashes. After a crash nothing listens at the upstream's address any more, which opening one new
 * connection (a probe) shows, unless this VM itself is cut off from all upstreams. Invariants: at
 * most one probe per upstream is open at a time; the end of an upstream that had announced that it
 * is leaving is not a crash, and neither is one that is seen while this VM is cut off. Confined to
 * one event loop.
 */
final class CrashDetector {
    /**
     * How long a failed probe is kept back, in milliseconds, until a connection to any upstream
     * opens: by then, other connections show whether this VM is cut off.
     */
    private static final long CONFIRMATION_MS = 600;

    private final UpstreamPool mPool;
    private final UpstreamReach mReach;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final RelayLog mLog;
    private final Quarantine mQuarantine;
    private final Map<UpstreamIncarnation, Set<RequestDigest>> mPendingProbes = new HashMap<>();
    private final Set<UpstreamIncarnation> mUnconfirmed = new LinkedHashSet<>();

    /**
     * Creates the detector.
     *
     * @param pool opens the probes
     * @param reach whether this VM reaches the upstreams
     * @param loop the event loop
     * @param clock the clock
     * @param log receives a line for each crash
     * @param quarantine is told of crashes
     */
    CrashDetector(
            UpstreamPool pool,
            UpstreamReach reach,
            EventLoop loop,
            Clock clock,
            RelayLog log,
            Quarantine quarantine) {
        mPool = pool;
        mReach = reach;
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mQuarantine = quarantine;
        reach.addOpenListener(this::onOpened);
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
        long lostMs = mClock.nowMs();
        mPool.probe(
                instance.entry().address(),
                RelayBounds.CONNECT_TIMEOUT_MS,
                listens -> onProbed(incarnation, lostMs, listens));
    }

    private void onProbed(UpstreamIncarnation incarnation, long lostMs, boolean listening) {
        if (listening) {
            mPendingProbes.remove(incarnation);
        } else if (mReach.hasOpenedSince(lostMs)) {
            report(mClock.nowMs(), incarnation, mPendingProbes.remove(incarnation));
        } else {
            mUnconfirmed.add(incarnation);
            var unused =
                    mLoop.schedule(
                            () -> onConfirmationDue(incarnation),
                            CONFIRMATION_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Decides on the failed probes: they are crashes unless this VM reached no upstream. */
    private void onOpened(long nowMs, boolean wasCutOff) {
        List<UpstreamIncarnation> unconfirmed = List.copyOf(mUnconfirmed);
        unconfirmed.forEach(i -> decide(nowMs, i, wasCutOff));
    }

    private void onConfirmationDue(UpstreamIncarnation incarnation) {
        if (mUnconfirmed.contains(incarnation)) {
            decide(mClock.nowMs(), incarnation, mReach.isCutOff());
        }
    }

    private void decide(long nowMs, UpstreamIncarnation incarnation, boolean cutOff) {
        mUnconfirmed.remove(incarnation);
        Set<RequestDigest> requests = mPendingProbes.remove(incarnation);
        if (cutOff) {
            mLog.logStateChange(
                    nowMs,
                    "crash-not-assumed",
                    new LogFields().add("upstream", incarnation.upstream()));
            return;
        }
        report(nowMs, incarnation, requests);
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
