package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;

import java.util.Objects;

/**
 * Identifies a request across all VMs: its organisation, its id and its body's digest.
 *
 * <p>A repeatable request is the same only if all three are; for a call that may not be repeated
 * the first two identify it and another digest is refused. Immutable; safe for use by any thread.
 *
 * @param organisation the caller's organisation
 * @param request the caller's idempotency key, or an id made for the request
 * @param bodyDigest a digest of the body that no two bodies share in practice
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RequestKey(OrganisationId organisation, RequestId request, String bodyDigest) {
    /** Checks that no part is missing. */
    public RequestKey {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(bodyDigest, "bodyDigest");
    }
}
