package org.hornbeampass.experiment.verdict;

import org.hornbeampass.state.requests.Bill;

import java.util.List;

/**
 * All that was seen of an experiment from outside the routers.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param requests what callers received
 * @param upstreams what upstreams ran
 * @param platform what the platform stores
 * @param routers what each router answered of itself, and what was done to it
 */
public record Observation(
        List<SeenRequest> requests, Upstreams upstreams, Stored platform, Routers routers) {
    /** Copies the list. */
    public Observation {
        requests = List.copyOf(requests);
    }

    /**
     * What upstreams ran.
     *
     * @param runs the attempts that engines ran
     * @param records the calls that services executed
     * @param leavings what leaving upstreams were still offered
     */
    public record Upstreams(List<Run> runs, List<Run> records, List<Leaving> leavings) {
        /** Copies the lists. */
        public Upstreams {
            runs = List.copyOf(runs);
            records = List.copyOf(records);
            leavings = List.copyOf(leavings);
        }
    }

    /**
     * One attempt that an upstream ran.
     *
     * @param upstream the upstream
     * @param requestId the request
     * @param attemptId the attempt
     */
    public record Run(String upstream, String requestId, String attemptId) {}

    /**
     * What a leaving upstream was offered after the time in which it still may be.
     *
     * @param upstream the upstream
     * @param offers how many attempts were sent to it
     */
    public record Leaving(String upstream, long offers) {}

    /**
     * What the platform stores, read directly.
     *
     * @param bills the bills that stand
     * @param billedTokens the tokens of all bills by the records' own totals
     * @param budgets samples of each budget's record, in the order of time
     * @param accepted when each revision of the configuration was first seen
     * @param auditProblem what the operators' audit found; empty where nothing
     */
    public record Stored(
            List<Bill> bills,
            long billedTokens,
            List<BudgetSample> budgets,
            List<Accepted> accepted,
            String auditProblem) {
        /** Copies the lists. */
        public Stored {
            bills = List.copyOf(bills);
            budgets = List.copyOf(budgets);
            accepted = List.copyOf(accepted);
        }
    }

    /**
     * One look at a budget's record.
     *
     * @param atMs when, in milliseconds since 1970
     * @param organisation whose budget
     * @param paid the tokens paid
     * @param drawn the tokens drawn by holders
     * @param limit what the operator wants to be paid, which is less while holders hold more
     */
    public record BudgetSample(long atMs, String organisation, long paid, long drawn, long limit) {}

    /**
     * A revision of the configuration that was accepted.
     *
     * @param atMs when it was first seen on the platform
     * @param revision the revision
     */
    public record Accepted(long atMs, long revision) {}

    /**
     * What routers answered of themselves, and what was done to them.
     *
     * @param revisions samples of the revision in force at each router, in the order of time
     * @param restarts graceful restarts, from their begin to their end
     * @param outOfReach times in which a router could reach neither the platform nor its peers, was
     *     paused, or was down
     * @param endMs when the last look was taken
     */
    public record Routers(
            List<RevisionSample> revisions,
            List<Span> restarts,
            List<Span> outOfReach,
            long endMs) {
        /** Copies the lists. */
        public Routers {
            revisions = List.copyOf(revisions);
            restarts = List.copyOf(restarts);
            outOfReach = List.copyOf(outOfReach);
        }
    }

    /**
     * One look at the revision in force at a router.
     *
     * @param atMs when, in milliseconds since 1970
     * @param vm the router's VM name
     * @param revision the revision that it says it runs
     */
    public record RevisionSample(long atMs, String vm, long revision) {}
}
