package org.hornbeampass.experiment.load;

import org.hornbeampass.experiment.verdict.RequestKind;

/**
 * One kind of request in an organisation's mix.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what is sent
 * @param weight its share of the mix, against the other weights
 * @param tokens the mean length of the answer; lengths spread evenly from half of it to one and a
 *     half times it
 * @param limit the token limit that is sent along
 * @param promptWords how many words the prompt has before the question
 * @param stream whether the answer is streamed
 */
public record RequestShape(
        RequestKind kind, double weight, int tokens, int limit, int promptWords, boolean stream) {}
