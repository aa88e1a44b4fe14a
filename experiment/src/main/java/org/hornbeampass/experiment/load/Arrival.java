package org.hornbeampass.experiment.load;

/**
 * One request that is to be sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param dueMs when, in milliseconds from the start
 * @param plan whose request
 * @param number its number within the organisation
 * @param shape its shape
 * @param tokens how long its answer is meant to be
 */
public record Arrival(
        double dueMs, OrganisationPlan plan, int number, RequestShape shape, int tokens) {
    /** Returns the request's name. */
    public String id() {
        return plan.name() + "-" + number;
    }
}
