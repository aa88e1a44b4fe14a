package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.caller.CallerRequest;
import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.experiment.caller.ChatRequest;
import org.hornbeampass.experiment.caller.ServiceRequest;
import org.hornbeampass.experiment.verdict.Observation.Accepted;
import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.hornbeampass.experiment.verdict.Observation.Leaving;
import org.hornbeampass.experiment.verdict.Observation.RevisionSample;
import org.hornbeampass.experiment.verdict.Observation.Run;
import org.hornbeampass.standin.engine.AnswerText;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.RequestKey;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Builds what would be seen of a router, right or broken, for the tests of rules.
 *
 * <p>Unless told otherwise the router is right: each chat has 3 prompt and 2 answer tokens, is run
 * once and billed once. Not thread-safe.
 */
final class Seen {
    static final String ORGANISATION = "desk";
    static final String ROUTER = "127.0.0.1:1";
    static final long PROMPT = 3;
    static final int TOKENS = 2;

    private final List<SeenRequest> mRequests = new ArrayList<>();
    private final List<Run> mRuns = new ArrayList<>();
    private final List<Run> mRecords = new ArrayList<>();
    private final List<Leaving> mLeavings = new ArrayList<>();
    private final List<Bill> mBills = new ArrayList<>();
    private final List<BudgetSample> mBudgets = new ArrayList<>();
    private final List<Accepted> mAccepted = new ArrayList<>();
    private final List<RevisionSample> mRevisions = new ArrayList<>();
    private final List<Span> mRestarts = new ArrayList<>();
    private final List<Span> mOutOfReach = new ArrayList<>();
    private long mUncounted;
    private String mAuditProblem = "";

    /** Adds a chat that was served, run and billed. */
    Seen servedChat(String id, long endedAtMs) {
        return answeredChat(id, endedAtMs, AnswerText.text(id, 0, TOKENS)).ran(id).billed(id, 5);
    }

    /** Adds a chat whose caller received a text. */
    Seen answeredChat(String id, long endedAtMs, String text) {
        return add(RequestKind.CHAT, served(chat(id), endedAtMs, text));
    }

    /** Adds a chat, all of whose tries were refused as not run. */
    Seen refusedChat(String id, long endedAtMs, String code) {
        return add(RequestKind.CHAT, failed(chat(id), endedAtMs, 503, code, "not_run", ""));
    }

    /** Adds a chat whose answer broke after a text. */
    Seen brokenChat(String id, long endedAtMs, String text) {
        return add(RequestKind.CHAT, failed(chat(id), endedAtMs, 200, "connection_lost", "", text));
    }

    /** Adds a call that may not be repeated and was answered. */
    Seen servedOnce(String id, String text) {
        ServiceRequest request = new ServiceRequest("key", id, "booking", "POST", "/", "{}");
        return add(RequestKind.SERVICE_ONCE, served(request, 0, text));
    }

    private Seen add(RequestKind kind, SeenTry one) {
        mRequests.add(new SeenRequest(ORGANISATION, kind, 10, List.of(one)));
        return this;
    }

    Seen ran(String id) {
        mRuns.add(new Run("engine-0", id, "vm-0-" + mRuns.size()));
        return this;
    }

    Seen executed(String id) {
        mRecords.add(new Run("booking-0", id, "vm-0-" + mRecords.size()));
        return this;
    }

    Seen billed(String id, long tokens) {
        VmId vm = new VmId("vm-0", 1);
        RequestKey key =
                new RequestKey(new OrganisationId(ORGANISATION), new RequestId(id), "digest");
        mBills.add(
                new Bill(
                        key,
                        new BudgetId("main"),
                        new AttemptId(vm, mBills.size()),
                        tokens,
                        0,
                        mBills.size()));
        return this;
    }

    /** Adds tokens to the records' totals that no bill tells of. */
    Seen billedElsewhere(long tokens) {
        mUncounted += tokens;
        return this;
    }

    Seen budget(long atMs, long paid, long drawn) {
        mBudgets.add(new BudgetSample(atMs, ORGANISATION, paid, drawn, paid));
        return this;
    }

    Seen loweredBudget(long atMs, long paid, long limit) {
        mBudgets.add(new BudgetSample(atMs, ORGANISATION, paid, paid, limit));
        return this;
    }

    Seen left(String upstream, long offers) {
        mLeavings.add(new Leaving(upstream, offers));
        return this;
    }

    Seen accepted(long atMs, long revision) {
        mAccepted.add(new Accepted(atMs, revision));
        return this;
    }

    Seen runs(long atMs, String vm, long revision) {
        mRevisions.add(new RevisionSample(atMs, vm, revision));
        return this;
    }

    Seen restarted(long fromMs, long untilMs) {
        mRestarts.add(new Span("vm-0", ROUTER, fromMs, untilMs));
        return this;
    }

    Seen outOfReach(String vm, long fromMs, long untilMs) {
        mOutOfReach.add(new Span(vm, ROUTER, fromMs, untilMs));
        return this;
    }

    Seen auditSays(String problem) {
        mAuditProblem = problem;
        return this;
    }

    Observation observation() {
        long billed = mBills.stream().mapToLong(Bill::tokens).sum() + mUncounted;
        return new Observation(
                mRequests,
                new Observation.Upstreams(mRuns, mRecords, mLeavings),
                new Observation.Stored(mBills, billed, mBudgets, mAccepted, mAuditProblem),
                new Observation.Routers(mRevisions, mRestarts, mOutOfReach, 100_000));
    }

    /** Returns what a rule finds, as {@code subject: detail}. */
    List<String> findings(VerdictRule rule) {
        return rule.check(observation()).stream()
                .map(f -> f.subject() + ": " + f.detail())
                .toList();
    }

    private static ChatRequest chat(String id) {
        return new ChatRequest("key", id, id, "model", TOKENS, 4, true, 0);
    }

    private static SeenTry served(CallerRequest request, long endedAtMs, String text) {
        Optional<ChatReceipt.Usage> usage =
                request.chat()
                        ? Optional.of(new ChatReceipt.Usage(PROMPT, TOKENS))
                        : Optional.empty();
        return new SeenTry(
                endedAtMs,
                new ChatReceipt(
                        request,
                        ROUTER,
                        200,
                        Optional.empty(),
                        "",
                        true,
                        0,
                        text,
                        usage,
                        true,
                        1,
                        2,
                        true));
    }

    private static SeenTry failed(
            CallerRequest request,
            long endedAtMs,
            int status,
            String code,
            String runState,
            String text) {
        return new SeenTry(
                endedAtMs,
                new ChatReceipt(
                        request,
                        ROUTER,
                        status,
                        Optional.of(code),
                        runState,
                        true,
                        0,
                        text,
                        Optional.empty(),
                        false,
                        -1,
                        2,
                        true));
    }
}
