package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.Collection;
import java.util.Set;

/**
 * Decides whether one request may be the trial of several quarantined prompt parts at once.
 *
 * <p>Parts that always came beside a crashing one are quarantined with it. A request without the
 * crashing part may still have several of the others, and no trial of a single part could clear
 * them. Stateless; safe for use by any thread that owns the suspects.
 */
final class CommonTrial {
    private CommonTrial() {}

    /**
     * Returns whether none of the subjects may have caused any crash: all are prompt parts, and for
     * each a quarantined part that is no subject has nearly all of its crashes. A request with
     * every part of such a group is not tried, since one of its parts is a crashing one.
     *
     * @param subjects the quarantined suspects of the request
     * @param candidates the suspects with enough crashes for a quarantine
     */
    static boolean mayAllBeInnocent(Collection<Suspect> subjects, Collection<Suspect> candidates) {
        return subjects.stream().allMatch(s -> s.kind() == SuspectKind.PROMPT_PART)
                && subjects.stream().allMatch(s -> isExplained(s, subjects, candidates));
    }

    private static boolean isExplained(
            Suspect part, Collection<Suspect> subjects, Collection<Suspect> candidates) {
        Set<UpstreamIncarnation> crashes = part.unclearedCrashes();
        return candidates.stream()
                .filter(s -> s.kind() == SuspectKind.PROMPT_PART && s.isQuarantined())
                .filter(s -> !subjects.contains(s))
                .anyMatch(s -> s.hasNearlyAll(crashes));
    }
}
