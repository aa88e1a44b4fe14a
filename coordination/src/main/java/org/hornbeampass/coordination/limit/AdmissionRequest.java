package org.hornbeampass.coordination.limit;

import org.hornbeampass.state.OrganisationId;

import java.util.Objects;

/**
 * A request for admission.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that sends the request
 * @param priority from 0 (first to be shed) to 9 (last to be shed)
 * @param weight the organisation's share relative to others of the same priority, at least 1
 * @param cost the most that the request may use, such as its maximum number of tokens, at least 1
 * @param deadline when the answer is due
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
