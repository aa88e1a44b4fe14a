package org.hornbeampass.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which attempts ran and how far, for a verdict from outside.
 *
 * <p>Invariant: an attempt that the engine accepted is listed, one that it refused is not; at most
 * {@value #MAX_RUNS} are kept, and how many were forgotten is told. An attempt id that comes again
 * after its end is listed again. Not thread-safe.
 */
public final class RunLedger {
    private static final int MAX_RUNS = 1_000_000;

    private final List<Run> mEnded = new ArrayList<>();
    private final Map<String, Run> mOpen = new LinkedHashMap<>();
    private long mForgotten;

    /** How a run stands. */
    public enum State {
        OPEN,
        COMPLETED,
        CANCELLED,
        DROPPED
    }

    /**
     * One attempt that the engine accepted.
     *
     * @param requestId the request
     * @param attemptId the attempt
     * @param state how it stands
     * @param promptTokens the prompt's tokens
     * @param from the offset of its first token
     * @param generated how many tokens it generated
     */
    public record Run(
            String requestId,
            String attemptId,
            State state,
            int promptTokens,
            int from,
            int generated) {
        private Run withGenerated(int tokens) {
            return new Run(requestId, attemptId, state, promptTokens, from, tokens);
        }

        private Run ended(State how) {
            return new Run(requestId, attemptId, how, promptTokens, from, generated);
        }
    }

    /**
     * The runs of the engine since its start.
     *
     * @param runs the runs, the ended ones first
     * @param forgotten how many ended runs are no longer listed
     */
    public record Report(List<Run> runs, long forgotten) {}

    void accepted(EngineJob job) {
        Run run =
                new Run(
                        job.requestId(),
                        job.attemptId(),
                        State.OPEN,
                        job.prompt().tokens(),
                        job.answer().from(),
                        0);
        mOpen.put(job.attemptId(), run);
    }

    void generated(String attemptId, int tokens) {
        mOpen.computeIfPresent(attemptId, (id, run) -> run.withGenerated(tokens));
    }

    void ended(String attemptId, State how) {
        Run run = mOpen.remove(attemptId);
        if (run == null) {
            return;
        }
        if (mEnded.size() >= MAX_RUNS) {
            mForgotten++;
            return;
        }
        mEnded.add(run.ended(how));
    }

    /** Returns the runs, of one request or of all. */
    public Report report(String requestId) {
        List<Run> runs = new ArrayList<>(mEnded);
        runs.addAll(mOpen.values());
        if (!requestId.isEmpty()) {
            runs.removeIf(run -> !run.requestId().equals(requestId));
        }
        return new Report(runs, mForgotten);
    }
}
