package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;

import java.util.Objects;

/**
 * Identifies a request across all VMs by its organisation, its id and the digest of its body.
 *
 * <p>Two repeatable requests are the same only if all three are equal; a call that may not be
 * repeated is identified by the first two, and is rejected if its digest differs. Immutable; safe
 * for use by any thread.
 *
 * @param organisation the caller's organisation
 * @param request the caller's idempotency key, or an id generated for the request
 * @param bodyDigest a collision-resistant digest of the body
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RequestKey(OrganisationId organisation, RequestId request, String bodyDigest) {
    /** Checks that no component is null. */
    public RequestKey {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(bodyDigest, "bodyDigest");
    }
}
