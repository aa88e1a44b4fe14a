package org.hornbeampass.coordination.service;

/**
 * The upstream chosen for a request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param instance the upstream
 * @param tokensToRead the prompt tokens that it is expected to read for the request: without the
 *     shared parts where they are most likely cached there
 * @param facts what a model of the upstream learns from the answer
 */
public record UpstreamChoice(UpstreamInstance instance, long tokensToRead, Facts facts) {
    /**
     * What was known when the upstream was chosen.
     *
     * @param ownTokens the prompt tokens that no other request shares, which are always read
     * @param tokensAhead the prompt tokens of other requests that it had not read
     * @param running the requests in progress there
     * @param heldTokens the tokens of its cache that the request needs for itself
     */
    public record Facts(long ownTokens, long tokensAhead, int running, long heldTokens) {
        /** Nothing is known. */
        public static final Facts NONE = new Facts(0, 0, 0, 0);
    }

    /** Creates a choice from which no model learns. */
    public UpstreamChoice(UpstreamInstance instance, long tokensToRead) {
        this(instance, tokensToRead, Facts.NONE);
    }
}
