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
 * @param live whether it may get new work as far as its life goes
 * @param endEvidence from where this VM knows that it is leaving
 * @param incarnation its newest known incarnation
 * @param health whether it is ejected
 * @param inFlight this VM's requests in progress there
 * @param limit how many this VM may have in progress there
 * @param reportAgeMs the age of its last report in milliseconds
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
                state.live(),
                state.live() ? Optional.empty() : state.life().endEvidence(),
                state.incarnation(),
                state.health().state(nowMs),
                state.load().inFlight(),
                state.limit().limit(),
                state.report()
                        .map(r -> OptionalLong.of(nowMs - r.reportedAtMs()))
                        .orElse(OptionalLong.empty()));
    }
}
