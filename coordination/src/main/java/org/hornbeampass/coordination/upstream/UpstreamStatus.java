package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.LeavingEvidence;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * One upstream as this VM sees it, for operators.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the upstream
 * @param live whether its newest known incarnation may get new work
 * @param endEvidence the evidence that it is leaving; empty where it is live
 * @param incarnation its newest known incarnation
 * @param health its ejection state
 * @param inFlight this VM's requests in progress there
 * @param limit the limit of this VM's requests in progress there
 * @param reportAgeMs the age of its last load report in milliseconds; empty without a report
 */
public record UpstreamStatus(
        UpstreamId id,
        boolean live,
        Optional<LeavingEvidence> endEvidence,
        long incarnation,
        UpstreamHealth.State health,
        int inFlight,
        int limit,
        OptionalLong reportAgeMs) {
    static UpstreamStatus of(long nowMs, UpstreamState state) {
        return new UpstreamStatus(
                state.id(),
                state.isLive(),
                state.isLive() ? Optional.empty() : state.incarnations().endEvidence(),
                state.incarnation(),
                state.health().state(nowMs),
                state.load().inFlight(),
                state.limit().limit(),
                state.report()
                        .map(r -> OptionalLong.of(nowMs - r.reportedAtMs()))
                        .orElse(OptionalLong.empty()));
    }
}
