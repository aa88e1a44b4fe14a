package org.hornbeampass.experiment.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws all requests of an experiment before it starts, so that a seed gives the same ones always.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class ArrivalSchedule {
    private ArrivalSchedule() {}

    /** Returns the requests of all organisations in the order of time. */
    public static List<Arrival> draw(List<OrganisationPlan> plans, long durationMs, long seed) {
        List<Arrival> all = new ArrayList<>();
        for (OrganisationPlan plan : plans) {
            SplittableRandom random = new SplittableRandom(seed ^ plan.name().hashCode());
            int number = 0;
            for (double dueMs : plan.demand().arrivals(random.split(), durationMs)) {
                RequestShape shape = plan.pick(random.nextDouble());
                int low = Math.max(1, shape.tokens() / 2);
                int tokens = low + random.nextInt(shape.tokens() + 1);
                all.add(new Arrival(dueMs, plan, number++, shape, tokens));
            }
        }
        all.sort(Comparator.comparingDouble(Arrival::dueMs));
        return all;
    }
}
