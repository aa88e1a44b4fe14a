package org.hornbeampass.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which failure domains each VM keeps evacuated, according to its log.
 *
 * <p>Invariant: the last line of a VM about a failure domain counts. For use by one thread.
 */
final class EvacuationTable {
    private static final String BEGUN = "domain-evacuated";
    private static final String ENDED = "domain-restored";
    private static final String STARTED = "started";

    /** The evacuations of each VM, by failure domain. */
    private final Map<String, Map<String, LogLine>> mByVm = new TreeMap<>();

    private long mLastMs;

    void take(LogLine line) {
        mLastMs = Math.max(mLastMs, line.atMs());
        Map<String, LogLine> ofVm = mByVm.computeIfAbsent(line.vm(), vm -> new TreeMap<>());
        switch (line.kind()) {
            case BEGUN -> ofVm.put(line.text("domain"), line);
            case ENDED -> ofVm.remove(line.text("domain"));
            case STARTED -> ofVm.clear();
            default -> {}
        }
    }

    /** Returns a line for each failure domain, with the VMs that keep it evacuated. */
    List<String> lines() {
        Map<String, List<LogLine>> byDomain = new TreeMap<>();
        for (Map<String, LogLine> ofVm : mByVm.values()) {
            ofVm.forEach(
                    (domain, line) ->
                            byDomain.computeIfAbsent(domain, d -> new ArrayList<>()).add(line));
        }
        List<String> lines = new ArrayList<>();
        byDomain.forEach((domain, begun) -> lines.add(line(domain, begun)));
        return lines;
    }

    private String line(String domain, List<LogLine> begun) {
        long oldestMs = begun.stream().mapToLong(LogLine::atMs).min().orElse(0);
        long revision = begun.stream().mapToLong(l -> l.number("revision")).max().orElse(0);
        return domain
                + "  revision "
                + revision
                + "  for "
                + (mLastMs - oldestMs)
                + " ms  at "
                + begun.size()
                + " of "
                + mByVm.size()
                + " VMs";
    }
}
