package org.hornbeampass.router.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamReach;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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
    private final Map<UpstreamIncarnation, Probe> mPendingProbes = new HashMap<>();
    private final Set<UpstreamIncarnation> mUnconfirmed = new LinkedHashSet<>();

    /**
     * What waits for the result of a probe.
     *
     * @param request the digest of the request
     * @param onProbed receives whether the upstream accepted the connection
     */
    private record Waiting(RequestDigest request, Consumer<Boolean> onProbed) {}

    /** A probe, from its start until it is known what its failure means. */
    private static final class Probe {
        private final Set<RequestDigest> mRequests = new LinkedHashSet<>();
        private final List<Waiting> mWaiting = new ArrayList<>();

        /** Asked after the probe had been started, so that its success tells them nothing. */
        private final List<Waiting> mWaitingForNext = new ArrayList<>();

        private boolean mFailed;

        private void add(Waiting waiting) {
            mRequests.add(waiting.request());
            mWaiting.add(waiting);
        }
    }

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
        Probe pending = mPendingProbes.get(instance.incarnation());
        if (pending != null) {
            pending.mRequests.add(digest);
            return;
        }
        Probe first = new Probe();
        first.mRequests.add(digest);
        open(instance.incarnation(), instance.entry().address(), first);
    }

    /**
     * Checks whether an upstream has crashed, after it closed a connection on which a request was
     * in flight.
     *
     * @param instance the upstream
     * @param digest the digest of the request
     * @param onProbed receives whether the upstream accepts connections after the close; an
     *     upstream that is leaving counts as one that does, since its end is expected
     */
    void onConnectionClosed(
            UpstreamInstance instance, RequestDigest digest, Consumer<Boolean> onProbed) {
        if (instance.isLeaving()) {
            onProbed.accept(true);
            return;
        }
        Waiting waiting = new Waiting(digest, onProbed);
        Probe pending = mPendingProbes.get(instance.incarnation());
        if (pending == null) {
            Probe first = new Probe();
            first.add(waiting);
            open(instance.incarnation(), instance.entry().address(), first);
        } else if (pending.mFailed) {
            pending.mRequests.add(digest);
            onProbed.accept(false);
        } else {
            pending.mWaitingForNext.add(waiting);
        }
    }

    private void open(UpstreamIncarnation incarnation, String address, Probe probe) {
        mPendingProbes.put(incarnation, probe);
        long startedMs = mClock.nowMs();
        mPool.probe(
                address,
                RelayBounds.CONNECT_TIMEOUT_MS,
                listens -> onProbed(incarnation, address, startedMs, listens));
    }

    private void onProbed(
            UpstreamIncarnation incarnation, String address, long startedMs, boolean listening) {
        Probe probe = mPendingProbes.get(incarnation);
        if (!listening) {
            probe.mFailed = true;
            probe.mWaitingForNext.forEach(probe::add);
            onFailed(incarnation, startedMs);
        } else if (probe.mWaitingForNext.isEmpty()) {
            mPendingProbes.remove(incarnation);
        } else {
            Probe next = new Probe();
            probe.mWaitingForNext.forEach(next::add);
            open(incarnation, address, next);
        }
        probe.mWaiting.forEach(w -> w.onProbed().accept(listening));
    }

    private void onFailed(UpstreamIncarnation incarnation, long startedMs) {
        if (mReach.hasOpenedSince(startedMs)) {
            report(mClock.nowMs(), incarnation, mPendingProbes.remove(incarnation).mRequests);
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
        Set<RequestDigest> requests = mPendingProbes.remove(incarnation).mRequests;
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
