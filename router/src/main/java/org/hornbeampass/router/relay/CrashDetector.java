package org.hornbeampass.router.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamReach;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.ProbeResult;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Distinguishes the crash of an upstream from the loss of a single connection.
 *
 * <p>A connection is lost where a link resets it, an answer is lost or damaged, or its upstream
 * crashes. After a crash nothing listens at the upstream's address any more, which opening one new
 * connection (a probe) shows, unless this VM itself is cut off from all upstreams. A process that
 * is exiting may accept connections for a while after it has closed others: a probe must stay open,
 * it is repeated, and what is observed later counts for all requests whose connections were lost:
 * that a connection is refused, that the upstream started again, or that its entry was removed. The
 * same holds for an answer that ended with its connection and did not state its own end.
 *
 * <p>Invariants: at most one probe per upstream is open at a time; the end of an upstream that had
 * announced that it is leaving is not a crash, and neither is a connection that is refused while
 * this VM is cut off, unless the entry shows that the upstream ended. Confined to one event loop.
 */
final class CrashDetector implements UpstreamReach.LinkListener {
    /**
     * How long a failed probe is kept back, in milliseconds, until a connection to any upstream
     * opens: by then, other connections show whether this VM is cut off.
     */
    private static final long CONFIRMATION_MS = 600;

    /**
     * How long a probe must stay open, in milliseconds: a connection that an exiting process has
     * not accepted is reset when its listener closes.
     */
    private static final int PROBE_HOLD_MS = 30;

    /** The times between an accepted probe and the next one, in milliseconds. */
    private static final List<Long> PROBE_INTERVALS_MS = List.of(150L, 1_000L);

    /**
     * For how long after the loss of a connection a later start of the upstream, or the removal of
     * its entry, counts as a crash during the request, in milliseconds.
     */
    private static final long EVIDENCE_MS = 10_000;

    private final UpstreamPool mPool;
    private final UpstreamReach mReach;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final RelayLog mLog;
    private final Quarantine mQuarantine;
    private final Map<UpstreamIncarnation, ConnectionLoss> mLosses = new HashMap<>();

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
        reach.addLinkListener(this);
        quarantine.setCrashListener(this::onCrashKnown);
    }

    /**
     * Checks whether an upstream has crashed, after a connection was lost on which a request was in
     * flight.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param suspects the digests of the request and of the shared parts of its prompt
     */
    void onConnectionLost(long nowMs, UpstreamInstance instance, Set<SuspectDigest> suspects) {
        if (instance.isLeaving()) {
            return;
        }
        ConnectionLoss loss = lossAt(instance);
        loss.add(nowMs, suspects);
        if (mQuarantine.hasJustCrashed(nowMs, loss.incarnation())) {
            report(nowMs, loss);
            return;
        }
        if (!loss.isBeingChecked()) {
            probe(loss);
        }
    }

    /**
     * Checks whether an upstream has crashed, after it closed a connection on which a request was
     * in flight.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param suspects the digests of the request and of the shared parts of its prompt
     * @param settleMs how long after the close the upstream must still accept connections, in
     *     milliseconds
     * @param onProbed receives whether it does; an upstream that is leaving counts as one that
     *     does, since its end is expected
     */
    void onConnectionClosed(
            long nowMs,
            UpstreamInstance instance,
            Set<SuspectDigest> suspects,
            long settleMs,
            Consumer<Boolean> onProbed) {
        if (instance.isLeaving()) {
            onProbed.accept(true);
            return;
        }
        ConnectionLoss loss = lossAt(instance);
        if (mQuarantine.hasJustCrashed(nowMs, loss.incarnation())) {
            loss.add(nowMs, suspects);
            report(nowMs, loss);
            onProbed.accept(false);
            return;
        }
        if (loss.isRefused()) {
            loss.add(nowMs, suspects);
            onProbed.accept(false);
            return;
        }
        loss.addWaiting(new ConnectionLoss.Waiting(suspects, nowMs, nowMs + settleMs, onProbed));
        if (!loss.isBeingChecked()) {
            probe(loss);
        }
    }

    /** Returns whether no connection was lost recently. */
    boolean isIdle() {
        return mLosses.isEmpty();
    }

    /** Returns whether there is an upstream of which it is not known yet whether it crashed. */
    boolean hasUndecidedLosses() {
        return mLosses.values().stream().anyMatch(l -> l.isUndecided() && !l.isEmpty());
    }

    /** Returns whether the connection of any request was lost whose digest has a scope. */
    boolean containsScope(long scope) {
        return mLosses.values().stream().anyMatch(l -> l.containsScope(scope));
    }

    /**
     * Returns at how many incarnations a request was in flight whose connection was lost and of
     * which it is not known yet whether they crashed.
     */
    int undecidedLosses(SuspectDigest request) {
        return (int)
                mLosses.values().stream()
                        .filter(l -> l.isUndecided() && l.contains(request))
                        .count();
    }

    /** Records that a request was answered completely, and so did not cause the losses before. */
    void clear(SuspectDigest request) {
        mLosses.values().forEach(l -> l.remove(request));
    }

    /** Records that a suspect did not cause the losses before a time in milliseconds. */
    void clearLostBefore(SuspectDigest suspect, long ms) {
        mLosses.values().forEach(l -> l.removeLostBefore(suspect, ms));
    }

    /**
     * Records a complete answer, which shows that its upstream runs.
     *
     * @param instance the upstream
     * @param sentMs when the request was sent, in milliseconds
     */
    void onAnswered(UpstreamInstance instance, long sentMs) {
        ConnectionLoss loss = mLosses.get(instance.incarnation());
        if (loss != null) {
            loss.onAnswered(sentMs);
        }
    }

    private ConnectionLoss lossAt(UpstreamInstance instance) {
        UpstreamIncarnation incarnation = instance.incarnation();
        ConnectionLoss known = mLosses.get(incarnation);
        if (known != null) {
            return known;
        }
        ConnectionLoss added =
                new ConnectionLoss(instance, nowMs -> onIncarnationEnded(nowMs, incarnation));
        mLosses.put(incarnation, added);
        schedule(EVIDENCE_MS, () -> expire(added));
        return added;
    }

    private void schedule(long delayMs, Runnable action) {
        var unused = mLoop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void expire(ConnectionLoss loss) {
        if (!isCurrent(loss)) {
            return;
        }
        long nowMs = mClock.nowMs();
        loss.removeLostUntil(nowMs - EVIDENCE_MS);
        if (loss.isEmpty() && loss.isRefused()) {
            logLoss(nowMs, "crash-not-assumed", loss.incarnation(), loss.suspects());
            remove(loss);
        } else if (loss.isEmpty() && !loss.isBeingChecked()) {
            remove(loss);
        } else {
            schedule(EVIDENCE_MS, () -> expire(loss));
        }
    }

    private boolean isCurrent(ConnectionLoss loss) {
        return mLosses.get(loss.incarnation()) == loss;
    }

    private void remove(ConnectionLoss loss) {
        loss.close();
        mLosses.remove(loss.incarnation());
    }

    private void probe(ConnectionLoss loss) {
        loss.onProbeStarted();
        long startedMs = mClock.nowMs();
        mPool.probe(
                loss.address(),
                RelayBounds.CONNECT_TIMEOUT_MS,
                PROBE_HOLD_MS,
                result -> onProbed(loss, startedMs, result));
    }

    private void onProbed(ConnectionLoss loss, long startedMs, ProbeResult result) {
        if (!isCurrent(loss)) {
            notifyWaiting(loss.takeRefused(), false); // The incarnation ended meanwhile.
            return;
        }
        switch (result) {
            case OPEN -> onAccepted(loss, startedMs);
            case DROPPED -> onDropped(loss, startedMs);
            case REFUSED -> onRefused(loss, startedMs);
            default -> throw new IllegalStateException("no such result: " + result);
        }
    }

    private void onAccepted(ConnectionLoss loss, long startedMs) {
        loss.onAccepted();
        List<ConnectionLoss.Waiting> confirmed = loss.takeAccepted(startedMs);
        OptionalLong awaitedMs = loss.nextAwaitedProbeMs();
        if (awaitedMs.isPresent()) {
            long delayMs = awaitedMs.getAsLong() - mClock.nowMs();
            schedule(Math.max(0, delayMs), () -> probeAwaited(loss));
        } else if (loss.isEmpty()) {
            remove(loss);
        } else {
            logLoss(mClock.nowMs(), "upstream-listens", loss.incarnation(), loss.suspects());
            scheduleRepeat(loss);
        }
        notifyWaiting(confirmed, true);
    }

    private void probeAwaited(ConnectionLoss loss) {
        boolean awaited = loss.nextAwaitedProbeMs().isPresent();
        if (isCurrent(loss) && awaited && !loss.isBeingChecked()) {
            probe(loss);
        }
    }

    private static void notifyWaiting(List<ConnectionLoss.Waiting> waiting, boolean listening) {
        waiting.forEach(w -> w.onProbed().accept(listening));
    }

    private void scheduleRepeat(ConnectionLoss loss) {
        int accepted = loss.acceptedProbes();
        if (accepted <= PROBE_INTERVALS_MS.size()) {
            schedule(PROBE_INTERVALS_MS.get(accepted - 1), () -> repeatProbe(loss, accepted));
        }
    }

    /** Repeats a probe, unless the upstream proved to run or another connection was lost. */
    private void repeatProbe(ConnectionLoss loss, int accepted) {
        boolean open = isCurrent(loss) && !loss.isBeingChecked() && !loss.isEmpty();
        if (open && !loss.isAnswered() && loss.acceptedProbes() == accepted) {
            probe(loss);
        }
    }

    /** Probes once more; an upstream that drops that one too runs, but its answer is doubtful. */
    private void onDropped(ConnectionLoss loss, long startedMs) {
        if (loss.onDropped() == 1) {
            probe(loss);
            return;
        }
        List<ConnectionLoss.Waiting> refused = loss.takeRefused();
        onAccepted(loss, startedMs);
        notifyWaiting(refused, false);
    }

    private void onRefused(ConnectionLoss loss, long startedMs) {
        loss.onRefused();
        List<ConnectionLoss.Waiting> refused = loss.takeRefused();
        if (mReach.hasOpenedSince(startedMs) || loss.isProbedAfterCut()) {
            report(mClock.nowMs(), loss);
        } else {
            schedule(CONFIRMATION_MS, () -> onConfirmationDue(loss));
        }
        notifyWaiting(refused, false);
    }

    private void onConfirmationDue(ConnectionLoss loss) {
        if (!isCurrent(loss) || !loss.isRefused()) {
            return;
        }
        if (!mReach.isCutOff()) {
            report(mClock.nowMs(), loss);
        } else if (!loss.hasAcceptedProbe()) {
            ruleOut(mClock.nowMs(), loss);
        }
    }

    /**
     * Decides on the refused probes: they show crashes unless this VM reached no upstream. Several
     * crashes can look like that, too. So where an earlier probe was accepted, and the link had
     * therefore survived the loss, another one decides.
     */
    @Override
    public void onOpened(long nowMs, boolean wasCutOff) {
        List<ConnectionLoss> refused =
                mLosses.values().stream().filter(ConnectionLoss::isRefused).toList();
        for (ConnectionLoss loss : refused) {
            if (!wasCutOff) {
                report(nowMs, loss);
            } else if (loss.hasAcceptedProbe()) {
                loss.onCutEnded();
                probe(loss);
            } else {
                ruleOut(nowMs, loss);
            }
        }
    }

    /**
     * Records that a refused probe does not show a crash. The upstream may have crashed all the
     * same, which its entry then shows.
     */
    private void ruleOut(long nowMs, ConnectionLoss loss) {
        loss.onRuledOut();
        logLoss(nowMs, "crash-not-assumed", loss.incarnation(), loss.suspects());
    }

    /** Probes an upstream again that accepted a probe and now refuses another connection. */
    @Override
    public void onUnreachable(long nowMs, String address) {
        List<ConnectionLoss> unchecked =
                mLosses.values().stream()
                        .filter(l -> l.address().equals(address))
                        .filter(l -> !l.isBeingChecked() && !l.isAnswered())
                        .filter(l -> !l.isRuledOut())
                        .toList();
        unchecked.forEach(this::probe);
    }

    private void onIncarnationEnded(long nowMs, UpstreamIncarnation incarnation) {
        ConnectionLoss loss = mLosses.get(incarnation);
        loss.removeLostUntil(nowMs - EVIDENCE_MS);
        if (loss.isLeaving() || loss.isEmpty()) {
            remove(loss);
        } else {
            report(nowMs, loss);
        }
    }

    /**
     * Records a crash of an upstream whose registered entry shows a later start while a request was
     * in flight there.
     */
    void onRestarted(long nowMs, UpstreamInstance instance, Set<SuspectDigest> suspects) {
        if (!instance.isLeaving()) {
            report(nowMs, instance.incarnation(), suspects);
        }
    }

    /** Adds what this VM lost there to a crash that another VM saw. */
    private void onCrashKnown(long nowMs, UpstreamIncarnation incarnation) {
        ConnectionLoss loss = mLosses.get(incarnation);
        if (loss != null && !loss.isEmpty() && !loss.isLeaving()) {
            report(nowMs, loss);
        }
    }

    private void report(long nowMs, ConnectionLoss loss) {
        List<ConnectionLoss.Waiting> waiting = loss.takeRefused();
        remove(loss);
        report(nowMs, loss.incarnation(), loss.suspects());
        notifyWaiting(waiting, false);
    }

    private void report(long nowMs, UpstreamIncarnation incarnation, Set<SuspectDigest> suspects) {
        mQuarantine.onCrash(nowMs, incarnation, suspects);
        logLoss(nowMs, "upstream-crashed", incarnation, suspects);
    }

    private void logLoss(
            long nowMs, String kind, UpstreamIncarnation incarnation, Set<SuspectDigest> suspects) {
        mLog.logStateChange(
                nowMs,
                kind,
                new LogFields()
                        .add("upstream", incarnation.upstream())
                        .add("born_ms", incarnation.bornMs())
                        .add("requests", suspects.stream().filter(d -> !d.isPart()).count()));
    }
}
