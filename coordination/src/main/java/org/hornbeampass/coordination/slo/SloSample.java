package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The properties of one finished request that objectives evaluate.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that sent the request
 * @param firstTokenMs the time from its arrival to its first token, in milliseconds; empty if it
 *     had no token
 * @param betweenTokensMs the mean time between its tokens, in milliseconds; empty if it had fewer
 *     than two tokens
 * @param error the kind of error; empty if the answer was complete
 * @param upstream the upstream that served it last, if any
 * @param domain the failure domain of that upstream
 */
public record SloSample(
        OrganisationId organisation,
        OptionalLong firstTokenMs,
        OptionalLong betweenTokensMs,
        Optional<ErrorKind> error,
        Optional<UpstreamId> upstream,
        Optional<FailureDomain> domain) {
    /** Checks that no component is null. */
    public SloSample {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(firstTokenMs, "firstTokenMs");
        Objects.requireNonNull(betweenTokensMs, "betweenTokensMs");
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(domain, "domain");
    }
}
