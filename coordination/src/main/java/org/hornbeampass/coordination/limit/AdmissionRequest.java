package org.hornbeampass.coordination.limit;

import org.hornbeampass.state.OrganisationId;

import java.util.Objects;

/**
 * A request that asks to be admitted.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation who asks
 * @param priority from 0 (first to be shed) to 9 (last to be shed)
 * @param weight the organisation's share in proportion to others of the same priority, at least 1
 * @param cost what the request may use, such as its tokens in the worst case, at least 1
 * @param deadline when its answer is due
 */
public record AdmissionRequest(
        OrganisationId organisation, int priority, int weight, long cost, Deadline deadline) {
    /** Checks the bounds. */
    public AdmissionRequest {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(deadline, "deadline");
        if (weight < 1 || cost < 1) {
            throw new IllegalArgumentException("weight and cost must be at least 1");
        }
    }
}
