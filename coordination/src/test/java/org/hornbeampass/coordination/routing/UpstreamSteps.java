package org.hornbeampass.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.limit.FailedAttempt;
import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryDecision;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.upstream.ListedUpstream;
import org.hornbeampass.state.upstream.UpstreamList;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;

/** Steps of the scenarios: simulates one VM in virtual time with upstreams of fixed speed. */
public class UpstreamSteps {
    private static final long REQUEST_INTERVAL_MS = 20;
    private static final long FIRST_TOKEN_MS = 30;
    private static final long ANSWER_MS = 200;
    private static final long CONNECT_TIMEOUT_MS = 300;
    private static final long FIRST_TOKEN_TIMEOUT_MS = 1_000;
    private static final long REPORT_INTERVAL_MS = 500;

    private final UpstreamTable mTable =
            new UpstreamTable(UpstreamFixtures.placement(), RoutingSettings.defaults());
    private final UpstreamChooser mChooser =
            new UpstreamChooser(mTable, RoutingPolicy.PREDICTED_WAIT, 7);
    private final RetryBudget mBudget = RetryBudget.defaults();
    private final RetryPolicy mRetries = new RetryPolicy();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<Integer, Long> mFaultAtMs = new HashMap<>();
    private final Map<Integer, Integer> mConcurrent = new HashMap<>();
    private final Map<Integer, Integer> mMaxConcurrentAfterBound = new HashMap<>();
    private final List<Runnable> mDeferred = new ArrayList<>();
    private final Set<Integer> mPossiblySent = new HashSet<>();
    private AttemptOutcome mFault = AttemptOutcome.TIMED_OUT;
    private boolean mRepeatable = true;
    private int mRunners;
    private int mRequests;
    private int mAnswered;
    private int mAttempts;
    private int mResent;
    private long mWorstFirstTokenMs;
    private long mNowMs;
    private long mOrder;

    /** An action scheduled at a time; {@code order} keeps actions of the same time in sequence. */
    private record Event(long atMs, long order, Runnable run) {}

    @Given("a flight desk with {int} runners in 3 failure domains")
    public void flightDesk(int runners) {
        mRunners = runners;
        mTable.applyConfig(0, UpstreamFixtures.config(1, runners, 64));
        deliverList(5, Set.of());
    }

    @When("briefings come for {int} seconds and runner {int} freezes after {int} seconds")
    public void freezes(int seconds, int runner, int afterS) {
        at(afterS * 1_000L, () -> mFaultAtMs.put(runner, mNowMs));
        mDeferred.add(() -> run(seconds));
    }

    @When(
            "briefings come for {int} seconds and failure domain {int} is lost after {int}"
                    + " seconds")
    public void domainLost(int seconds, int domain, int afterS) {
        mFault = AttemptOutcome.CONNECT_FAILED;
        at(
                afterS * 1_000L,
                () ->
                        IntStream.range(0, mRunners)
                                .filter(r -> r % 3 == domain)
                                .forEach(r -> mFaultAtMs.put(r, mNowMs)));
        mDeferred.add(() -> run(seconds));
    }

    @When("briefings come for {int} seconds and runner {int} leaves after {int} seconds")
    public void leaves(int seconds, int runner, int afterS) {
        mFault = AttemptOutcome.SUCCEEDED;
        at(afterS * 1_000L, () -> mFaultAtMs.put(runner, mNowMs));
        at(
                afterS * 1_000L + REPORT_INTERVAL_MS,
                () ->
                        mTable.onLoadReport(
                                mNowMs,
                                UpstreamFixtures.runner(runner),
                                UpstreamFixtures.leaving(mNowMs, 1)));
        mDeferred.add(() -> run(seconds));
    }

    @When("an older list that still shows runner {int} comes after {int} seconds")
    public void olderList(int runner, int afterS) {
        assertThat(runner).isLessThan(mRunners);
        at(afterS * 1_000L, () -> deliverList(4, Set.of()));
        at(afterS * 1_000L + 1, () -> deliverList(6, Set.of()));
    }

    @When(
            "manifest entries come for {int} seconds and runners {int} and {int} answer with"
                    + " errors after {int} seconds")
    public void errors(int seconds, int one, int other, int afterS) {
        mFault = AttemptOutcome.UPSTREAM_ERROR;
        mRepeatable = false;
        at(
                afterS * 1_000L,
                () -> {
                    mFaultAtMs.put(one, mNowMs);
                    mFaultAtMs.put(other, mNowMs);
                });
        mDeferred.add(() -> run(seconds));
    }

    @Then("each briefing is answered")
    public void eachAnswered() {
        runDeferred();
        assertThat(mAnswered).isEqualTo(mRequests).isPositive();
    }

    @Then("no briefing waits longer than {int} ms for its first token")
    public void noneWaitsLonger(int ms) {
        assertThat(mWorstFirstTokenMs).isPositive().isLessThanOrEqualTo(ms);
    }

    @Then("{int} seconds after the fault runner {int} gets at most 1 briefing at a time")
    public void probesOnly(int seconds, int runner) {
        assertThat(seconds).isEqualTo(3);
        assertThat(mMaxConcurrentAfterBound.getOrDefault(runner, 0)).isLessThanOrEqualTo(1);
    }

    @Then("{int} seconds after the fault the runners at fault get at most 1 briefing at a time")
    public void allProbesOnly(int seconds) {
        mFaultAtMs.keySet().forEach(r -> probesOnly(seconds, r));
    }

    @Then("{int} seconds after the fault runner {int} gets no briefing at all")
    public void noneSent(int seconds, int runner) {
        assertThat(seconds).isEqualTo(3);
        assertThat(mMaxConcurrentAfterBound).doesNotContainKey(runner);
    }

    @Then("the attempts are at most {double} times the briefings")
    public void amplification(double most) {
        runDeferred();
        assertThat((double) mAttempts).isLessThanOrEqualTo(most * mRequests);
    }

    @Then("the attempts are at most {double} times the manifest entries")
    public void amplificationOfEntries(double most) {
        amplification(most);
    }

    @Then("no manifest entry is sent twice once a byte of it was sent")
    public void noneSentTwice() {
        runDeferred();
        assertThat(mResent).isZero();
        assertThat(mRequests).isPositive();
    }

    private void deliverList(long version, Set<Integer> leaving) {
        List<ListedUpstream> lines =
                IntStream.range(0, mRunners)
                        .mapToObj(
                                r ->
                                        new ListedUpstream(
                                                UpstreamFixtures.runner(r), 1, leaving.contains(r)))
                        .toList();
        mTable.onListed(mNowMs, new UpstreamList(version, lines));
    }

    private void runDeferred() {
        mDeferred.forEach(Runnable::run);
        mDeferred.clear();
    }

    private void run(int seconds) {
        for (long at = 0; at < seconds * 1_000L; at += REQUEST_INTERVAL_MS) {
            at(at, this::request);
        }
        while (!mEvents.isEmpty()) {
            Event event = mEvents.remove();
            mNowMs = event.atMs();
            event.run().run();
        }
    }

    private void request() {
        int number = ++mRequests;
        mBudget.onFirstAttempt();
        attempt(number, 1, mNowMs, UpstreamFixtures.query());
    }

    private void attempt(int number, int attempts, long startedMs, RoutingQuery query) {
        mAttempts++;
        mResent += mPossiblySent.contains(number) ? 1 : 0;
        UpstreamChoice choice = mChooser.choose(mNowMs, query).get();
        int runner = Integer.parseInt(choice.upstream().value().substring("runner-".length()));
        countRequest(runner);
        mChooser.onStarted(mNowMs, choice);
        boolean faulty = mFaultAtMs.containsKey(runner) && mFault != AttemptOutcome.SUCCEEDED;
        if (!faulty) {
            mPossiblySent.add(number);
            at(mNowMs + FIRST_TOKEN_MS, () -> firstToken(choice, startedMs));
            at(mNowMs + ANSWER_MS, () -> end(runner, choice, AttemptOutcome.SUCCEEDED));
            return;
        }
        if (mFault.mayHaveSent()) {
            mPossiblySent.add(number);
        }
        at(
                mNowMs + faultMs(),
                () -> {
                    end(runner, choice, mFault);
                    afterFailure(number, attempts, startedMs, query.excluding(choice.upstream()));
                });
    }

    private long faultMs() {
        if (mFault == AttemptOutcome.TIMED_OUT) {
            return FIRST_TOKEN_TIMEOUT_MS;
        }
        return mFault == AttemptOutcome.CONNECT_FAILED ? CONNECT_TIMEOUT_MS : FIRST_TOKEN_MS;
    }

    private void afterFailure(int number, int attempts, long startedMs, RoutingQuery next) {
        FailedAttempt failed =
                new FailedAttempt(mFault, mRepeatable, attempts, 0, false, Deadline.none());
        RetryDecision decision = mRetries.decide(mNowMs, failed, false, mBudget);
        if (decision instanceof RetryDecision.RetryElsewhere retry) {
            at(mNowMs + retry.delayMs(), () -> attempt(number, attempts + 1, startedMs, next));
        }
    }

    private void firstToken(UpstreamChoice choice, long startedMs) {
        mChooser.onFirstToken(mNowMs, choice);
        mWorstFirstTokenMs = Math.max(mWorstFirstTokenMs, mNowMs - startedMs);
    }

    private void end(int runner, UpstreamChoice choice, AttemptOutcome outcome) {
        mConcurrent.merge(runner, -1, Integer::sum);
        mChooser.onEnded(mNowMs, choice, outcome);
        mAnswered += outcome == AttemptOutcome.SUCCEEDED ? 1 : 0;
    }

    private void countRequest(int runner) {
        int concurrent = mConcurrent.merge(runner, 1, Integer::sum);
        Long faultAt = mFaultAtMs.get(runner);
        if (faultAt != null && mNowMs - faultAt > 3_000) {
            mMaxConcurrentAfterBound.merge(runner, concurrent, Math::max);
        }
    }

    private void at(long atMs, Runnable run) {
        mEvents.add(new Event(atMs, mOrder++, run));
    }
}
