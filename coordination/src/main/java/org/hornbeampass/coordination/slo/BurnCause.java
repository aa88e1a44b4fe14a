package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Optional;

/**
 * The cause to which a bad request is attributed.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param objective the objective that the request missed
 * @param organisation the organisation that sent the request; empty for requests beyond the bound
 *     on causes
 * @param error the kind of error; empty if the answer was complete but too slow
 * @param upstream the upstream that served the request, if any
 * @param domain the failure domain of that upstream
 */
public record BurnCause(
        Objective objective,
        Optional<OrganisationId> organisation,
        Optional<ErrorKind> error,
        Optional<UpstreamId> upstream,
        Optional<FailureDomain> domain) {
    static BurnCause of(Objective objective, SloSample sample) {
        return new BurnCause(
                objective,
                Optional.of(sample.organisation()),
                sample.error(),
                sample.upstream(),
                sample.domain());
    }

    static BurnCause other(Objective objective) {
        return new BurnCause(
                objective, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }
}
