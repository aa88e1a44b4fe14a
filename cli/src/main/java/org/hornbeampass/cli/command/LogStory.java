package org.hornbeampass.cli.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds in routers' logs what was decided on one request, and what its VM believed then.
 *
 * <p>Invariant: lines that are no decisions are passed over. Not thread-safe.
 */
final class LogStory {
    private static final String REQUEST = "request";
    private static final String ORGANISATION = "organisation";
    private static final String ENDED = "ended";

    private final String mRequest;
    private final List<LogLine> mStory = new ArrayList<>();
    private final Map<String, LogLine> mConfigs = new HashMap<>();
    private final Map<String, LogLine> mGrants = new HashMap<>();

    /** Makes the story of one request, named by the caller's id. */
    LogStory(String request) {
        mRequest = request;
    }

    /** Takes the next decision of a log. */
    void take(LogLine line) {
        String kind = line.kind();
        if (kind.equals("config-in-force")) {
            mConfigs.put(line.vm(), line);
        }
        if (kind.startsWith("grant-") || kind.equals("tokens-borrowed")) {
            mGrants.put(line.vm() + "/" + line.text(ORGANISATION), line);
        }
        if (!line.text(REQUEST).equals(mRequest)) {
            return;
        }
        if (kind.equals(ENDED)) {
            addBelief(mConfigs.get(line.vm()));
            addBelief(mGrants.get(line.vm() + "/" + line.text(ORGANISATION)));
        }
        mStory.add(line);
    }

    private void addBelief(LogLine line) {
        Optional.ofNullable(line).filter(l -> !mStory.contains(l)).ifPresent(mStory::add);
    }

    /**
     * Returns the decisions on the request and what they rested on, in the order of their times.
     */
    List<LogLine> lines() {
        boolean found = mStory.stream().anyMatch(l -> l.text(REQUEST).equals(mRequest));
        if (!found) {
            return List.of();
        }
        return mStory.stream().sorted(Comparator.comparingLong(LogLine::atMs)).toList();
    }
}
