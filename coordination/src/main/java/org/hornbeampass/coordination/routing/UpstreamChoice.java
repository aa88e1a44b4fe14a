package org.hornbeampass.coordination.routing;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.UpstreamId;

/**
 * The upstream chosen for one attempt.
 *
 * <p>It counts towards the upstream's limit until {@link UpstreamChooser#onEnded}, which must be
 * called exactly once for each choice, even if the attempt was never sent. Immutable; safe for use
 * by any thread.
 *
 * @param attempt identifies the attempt on this VM
 * @param upstream the upstream
 * @param baseUri the upstream's base URI
 * @param domain its failure domain
 * @param incarnation the upstream's newest known incarnation at the time of the choice
 * @param cachedBlocks the estimated number of leading blocks of the prompt that are cached there
 * @param chosenAtMs when it was chosen, in milliseconds
 */
public record UpstreamChoice(
        long attempt,
        UpstreamId upstream,
        String baseUri,
        FailureDomain domain,
        long incarnation,
        int cachedBlocks,
        long chosenAtMs) {}
