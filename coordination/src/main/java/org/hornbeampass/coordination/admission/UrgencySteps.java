package org.hornbeampass.coordination.admission;

import org.hornbeampass.coordination.service.PrefillUrgency;

/**
 * The range of urgencies that the requests of one rank are sent to engines with.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param first the urgency of the rank's shortest prompts, 0 (served first) to 9 (served last)
 * @param count how many urgencies the rank has, at least 1
 */
public record UrgencySteps(int first, int count) {
    /** How many urgencies engines tell apart. */
    static final int URGENCIES = 10;

    /**
     * Returns the urgency of a request: shorter prompts come first as far as the range allows.
     *
     * @param tokensToRead the prompt tokens that its upstream has to read
     * @return the urgency, from 0 (served first) to 9 (served last)
     */
    public int urgency(long tokensToRead) {
        return first + PrefillUrgency.of(tokensToRead).rank() * count / URGENCIES;
    }
}
