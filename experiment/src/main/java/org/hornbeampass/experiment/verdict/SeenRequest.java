package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.caller.ChatReceipt;

import java.util.List;
import java.util.Optional;

/**
 * One request as its caller saw it, over all tries.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation whose request
 * @param kind its kind
 * @param worstTokens the most tokens that it can use; 0 for a service call
 * @param tries the tries in their order; empty only where none ended
 */
public record SeenRequest(
        String organisation, RequestKind kind, long worstTokens, List<SeenTry> tries) {
    /** Copies the list. */
    public SeenRequest {
        tries = List.copyOf(tries);
    }

    /** Returns the request's name. */
    public String id() {
        return last().receipt().request().idempotencyKey();
    }

    /** Returns the last try. */
    public SeenTry last() {
        return tries.get(tries.size() - 1);
    }

    /** Returns whether the caller has a whole answer. */
    public boolean served() {
        return last().receipt().served();
    }

    /** Returns whether every answer said that the request did not run. */
    public boolean saidNotRun() {
        return tries.stream().allMatch(SeenTry::saidNotRun);
    }

    /** Returns the tokens that the whole answer said were used; empty without one. */
    public Optional<Long> usedTokens() {
        return served() ? last().receipt().usage().map(ChatReceipt.Usage::total) : Optional.empty();
    }
}
