package org.hornbeampass.experiment.demo;

import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.standin.engine.AnswerText;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Adds up what callers received.
 *
 * <p>Invariant: an answer counts as received only where its text is its own and whole. Thread-safe:
 * each method holds this object's lock.
 */
final class DemoTally {
    /** What one organisation's callers received. */
    record Line(long served, long refused, long wrong, long tokens, double worstMs) {
        static final Line NONE = new Line(0, 0, 0, 0, 0);
    }

    private final Map<String, Line> mLines = new TreeMap<>();

    /** Adds the end of one request, with the receipts of all its tries. */
    synchronized void add(String organisation, List<ChatReceipt> receipts) {
        ChatReceipt last = receipts.get(receipts.size() - 1);
        Line line = mLines.getOrDefault(organisation, Line.NONE);
        mLines.put(organisation, with(line, last));
    }

    private static Line with(Line line, ChatReceipt last) {
        if (!last.served()) {
            return new Line(
                    line.served(), line.refused() + 1, line.wrong(), line.tokens(), line.worstMs());
        }
        long usedTokens = last.usage().map(ChatReceipt.Usage::total).orElse(0L);
        int answerTokens = last.usage().map(u -> (int) u.completion()).orElse(0);
        boolean own = AnswerText.problem(last.request().tag(), answerTokens, last.text()).isEmpty();
        return new Line(
                line.served() + 1,
                line.refused(),
                line.wrong() + (own ? 0 : 1),
                line.tokens() + usedTokens,
                Math.max(line.worstMs(), last.totalMs()));
    }

    /** Returns what one organisation's callers received. */
    synchronized Line line(String organisation) {
        return mLines.getOrDefault(organisation, Line.NONE);
    }
}
