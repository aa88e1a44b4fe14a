package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One request that has ended, as far as objectives look at it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation whose request it was
 * @param firstTokenMs from its arrival to its first token, in milliseconds; empty where none came
 * @param betweenTokensMs the mean time between its tokens, in milliseconds; empty below two tokens
 * @param error how it failed; empty where it was answered whole
 * @param upstream the upstream that served it last, where one did
 * @param domain the failure domain of that upstream
 */
public record SloSample(
        OrganisationId organisation,
        OptionalLong firstTokenMs,
        OptionalLong betweenTokensMs,
        Optional<ErrorKind> error,
        Optional<UpstreamId> upstream,
        Optional<FailureDomain> domain) {
    /** Checks that no part is missing. */
    public SloSample {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(firstTokenMs, "firstTokenMs");
        Objects.requireNonNull(betweenTokensMs, "betweenTokensMs");
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(domain, "domain");
    }
}
