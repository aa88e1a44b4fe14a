package org.hornbeampass.coordination.upstream;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.upstream.UpstreamHealth.State;

/**
 * Outlier ejection: decides when a failing or slow upstream is ejected from its group.
 *
 * <p>An upstream is ejected for consecutive failures, for a high share of failures, or for a time
 * to first token far above that of its group. Invariant: an ejection never raises the ejected share
 * of the group's live members above {@link #MAX_EJECTED_SHARE}; a failed probe may always extend an
 * ejection, since it ejects no further upstream. Stateless; the caller holds {@link
 * UpstreamTable#lock()}.
 */
public final class OutlierDetector {
    /** The largest share of a group's live members that is ejected at once. */
    public static final double MAX_EJECTED_SHARE = 0.5;

    private static final int MAX_CONSECUTIVE_UNREACHABLE = 2;
    private static final int MAX_CONSECUTIVE_FAILURES = 4;
    private static final int MIN_OUTCOMES = 10;
    private static final double MAX_FAILURE_SHARE = 0.4;
    private static final double MAX_LATENCY_RATIO = 6;
    private static final double MIN_LATENCY_EXCESS_MS = 500;

    /** Records an attempt's outcome and ejects the upstream if it fails too often. */
    public void onOutcome(
            long nowMs, UpstreamGroup group, UpstreamState upstream, AttemptOutcome outcome) {
        UpstreamHealth health = upstream.health();
        State before = health.state(nowMs);
        health.record(nowMs, outcome);
        if (!outcome.upstreamFailed() || before == State.EJECTED) {
            return;
        }
        if (before == State.PROBING) {
            health.eject(nowMs);
            return;
        }
        if (failsTooOften(nowMs, health) && mayEject(nowMs, group)) {
            health.eject(nowMs);
        }
    }

    /** Ejects the upstream after a first token if it is far slower than its group. */
    public void onFirstToken(long nowMs, UpstreamGroup group, UpstreamState upstream) {
        double ownMs = upstream.load().firstTokenMs();
        if (ownMs < MIN_LATENCY_EXCESS_MS || upstream.health().state(nowMs) != State.HEALTHY) {
            return;
        }
        double othersMs = group.meanFirstTokenMs(upstream);
        boolean outlier =
                othersMs > 0
                        && ownMs > othersMs * MAX_LATENCY_RATIO
                        && ownMs > othersMs + MIN_LATENCY_EXCESS_MS;
        if (outlier && mayEject(nowMs, group)) {
            upstream.health().eject(nowMs);
            upstream.load().resetLatency();
        }
    }

    private static boolean failsTooOften(long nowMs, UpstreamHealth health) {
        if (health.consecutiveUnreachable() >= MAX_CONSECUTIVE_UNREACHABLE
                || health.consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES) {
            return true;
        }
        int outcomes = health.recentOutcomes(nowMs);
        return outcomes >= MIN_OUTCOMES
                && health.recentFailures(nowMs) >= MAX_FAILURE_SHARE * outcomes;
    }

    private static boolean mayEject(long nowMs, UpstreamGroup group) {
        int live = 0;
        int ejected = 0;
        for (int i = 0; i < group.size(); i++) {
            UpstreamState member = group.member(i);
            if (member.isLive()) {
                live++;
                ejected += member.health().state(nowMs) == State.HEALTHY ? 0 : 1;
            }
        }
        return ejected + 1 <= live * MAX_EJECTED_SHARE;
    }
}
