package org.hornbeampass.experiment.load;

import org.hornbeampass.state.config.BudgetPreference;

import java.util.List;

/**
 * An organisation of an experiment and what it asks for.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param paidTokens what is paid before the start
 * @param preference what it weighs more heavily
 * @param priority from 0 to 9
 * @param demand its rate over time
 * @param mix what it sends; at least one shape
 */
public record OrganisationPlan(
        String name,
        long paidTokens,
        BudgetPreference preference,
        int priority,
        DemandCurve demand,
        List<RequestShape> mix) {
    /** Copies the list. */
    public OrganisationPlan {
        mix = List.copyOf(mix);
    }

    /** Returns the shape that a number from 0 to 1 picks by weight. */
    RequestShape pick(double share) {
        double left = share * mix.stream().mapToDouble(RequestShape::weight).sum();
        for (RequestShape shape : mix) {
            left -= shape.weight();
            if (left < 0) {
                return shape;
            }
        }
        return mix.get(mix.size() - 1);
    }
}
