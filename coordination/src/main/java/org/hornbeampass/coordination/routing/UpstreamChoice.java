package org.hornbeampass.coordination.routing;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.UpstreamId;

/**
 * The upstream chosen for one attempt.
 *
 * <p>It holds a place at the upstream until {@link UpstreamChooser#onEnded}, which must be called
 * exactly once for each choice, also for one that was never sent. Immutable; safe for use by any
 * thread.
 *
 * @param attempt identifies the attempt on this VM
 * @param upstream the upstream
 * @param baseUri where it listens
 * @param domain its failure domain
 * @param incarnation its life as known at the time of the choice
 * @param cachedBlocks leading blocks of the prompt that are believed to be cached there
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
