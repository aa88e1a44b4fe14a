package org.hornbeampass.coordination.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * Draws items without replacement so that each is drawn with a probability in proportion to its
 * weight (systematic sampling in random order).
 *
 * <p>Invariant: the probabilities are exact as far as none exceeds 1; such an item is always drawn.
 * Stateless; safe for use by any thread.
 */
final class ProportionalSample {
    private ProportionalSample() {}

    /**
     * Draws items.
     *
     * @param items the items
     * @param weight the positive weight of an item
     * @param count how many to draw; all items where there are no more than that
     * @param random the source of randomness
     */
    static <T> List<T> draw(List<T> items, ToDoubleFunction<T> weight, int count, Random random) {
        List<T> shuffled = new ArrayList<>(items);
        Collections.shuffle(shuffled, random);
        if (shuffled.size() <= count) {
            return shuffled;
        }
        double[] probabilities = probabilities(shuffled, weight, count);
        List<T> drawn = new ArrayList<>(count);
        double next = random.nextDouble();
        double sum = 0;
        for (int i = 0; i < probabilities.length && drawn.size() < count; i++) {
            sum += probabilities[i];
            // A sum that rounding leaves below the last threshold must not lose the last item.
            boolean needed = probabilities.length - i <= count - drawn.size();
            if (sum > next || needed) {
                drawn.add(shuffled.get(i));
                next++;
            }
        }
        return drawn;
    }

    /** Returns the probabilities in proportion to the weights, at most 1, with the given sum. */
    private static <T> double[] probabilities(
            List<T> items, ToDoubleFunction<T> weight, int count) {
        double[] probabilities = items.stream().mapToDouble(weight).toArray();
        boolean[] certain = new boolean[probabilities.length];
        boolean changed = true;
        while (changed) {
            double sum = 0;
            int left = count;
            for (int i = 0; i < certain.length; i++) {
                sum += certain[i] ? 0 : probabilities[i];
                left -= certain[i] ? 1 : 0;
            }
            double scale = left / sum;
            changed = false;
            for (int i = 0; i < certain.length; i++) {
                if (!certain[i]) {
                    probabilities[i] *= scale;
                    certain[i] = probabilities[i] >= 1;
                    changed |= certain[i];
                }
            }
        }
        for (int i = 0; i < certain.length; i++) {
            probabilities[i] = certain[i] ? 1 : probabilities[i];
        }
        return probabilities;
    }
}
