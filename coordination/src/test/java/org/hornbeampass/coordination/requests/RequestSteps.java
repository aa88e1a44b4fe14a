package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The words of the scenarios; a router that is granted a call runs it at once.
 *
 * <p>One instance per scenario. Not thread-safe: scenarios run on one thread.
 */
public final class RequestSteps {
    private static final long SECOND_MS = 1_000;
    private static final long MINUTE_MS = 60 * SECOND_MS;

    private final LedgerFleet mFleet = new LedgerFleet(7, LedgerFleet.settings(2));
    private final Map<String, VmId> mRouters = new HashMap<>();
    private final Map<String, AttemptId> mAsked = new HashMap<>();

    /** Starts the routers. */
    @Given("routers {string}, {string} and {string}")
    public void routers(String one, String two, String three) {
        for (String name : List.of(one, two, three)) {
            mRouters.put(name, mFleet.start(name, 1));
        }
        mFleet.mTime.runFor(SECOND_MS);
    }

    /** Sets how much is lost. */
    @Given("the platform loses every reply")
    public void platform_loses_every_reply() {
        mFleet.mPlatform.setLossRates(0, 1);
    }

    /** Sets how much is lost. */
    @Given("the platform and the network lose {int} of 10 messages")
    public void platform_and_network_lose(int tenths) {
        mFleet.mPlatform.setLossRates(tenths / 10.0, tenths / 10.0);
        mFleet.mPeers.setDropRate(tenths / 10.0);
    }

    /** Ends all loss. */
    @When("the platform answers again")
    public void platform_answers_again() {
        mFleet.mPlatform.setLossRates(0, 0);
        mFleet.mPeers.setDropRate(0);
    }

    /** Starts an outage. */
    @Given("the platform is down")
    public void platform_is_down() {
        mFleet.mPlatform.setOutage(true);
    }

    /** Ends an outage. */
    @When("the platform is back")
    public void platform_is_back() {
        mFleet.mPlatform.setOutage(false);
    }

    /** Cuts a router off. */
    @Given("router {string} is cut off from the platform")
    public void router_is_cut_off_from_the_platform(String name) {
        mFleet.mPlatform.cut(mRouters.get(name));
    }

    /** Cuts a router off. */
    @Given("router {string} is cut off from the others")
    public void router_is_cut_off_from_the_others(String name) {
        mRouters.keySet().forEach(other -> mFleet.mPeers.cut(name, other));
    }

    /** Splits the views of the members. */
    @Given("every router sees itself alone")
    public void every_router_sees_itself_alone() {
        mRouters.values().forEach(vm -> mFleet.sees(vm, vm));
        mFleet.mTime.runFor(2 * SECOND_MS);
    }

    /** Pauses a router. */
    @Given("router {string} is paused")
    public void router_is_paused(String name) {
        mFleet.mVms.pause(mRouters.get(name));
    }

    /** Resumes a router. */
    @When("router {string} goes on")
    public void router_goes_on(String name) {
        mFleet.mVms.resume(mRouters.get(name));
    }

    /** Removes a router from the others' views. */
    @Given("all others take router {string} for dead")
    public void others_take_router_for_dead(String name) {
        VmId[] others =
                mRouters.entrySet().stream()
                        .filter(e -> !e.getKey().equals(name))
                        .map(Map.Entry::getValue)
                        .toArray(VmId[]::new);
        for (VmId other : others) {
            mFleet.sees(other, others);
        }
    }

    /** Kills a router. */
    @When("router {string} dies")
    public void router_dies(String name) {
        mFleet.kill(mRouters.get(name));
    }

    /** Lets time pass. */
    @When("{int} second(s) pass(es)")
    public void seconds_pass(int seconds) {
        mFleet.mTime.runFor(seconds * SECOND_MS);
    }

    /** Lets time pass. */
    @When("{int} minute(s) pass(es)")
    public void minutes_pass(int minutes) {
        mFleet.mTime.runFor(minutes * MINUTE_MS);
    }

    /** Asks a router for a call that may not be repeated. */
    @When("router {string} is asked for manifest entry {string} for {string}")
    public void asked_for_manifest_entry(String router, String id, String body) {
        mAsked.put(router, mFleet.claim(mRouters.get(router), id, body));
    }

    /** Asks a router for a call that may not be repeated. */
    @When("router {string} is asked for mould release {string} for {string}")
    public void asked_for_mould_release(String router, String id, String body) {
        asked_for_manifest_entry(router, id, body);
    }

    /** Lets a router run a call. */
    @Given("router {string} runs manifest entry {string} for {string}")
    public void runs_manifest_entry(String router, String id, String body) {
        asked_for_manifest_entry(router, id, body);
        mFleet.mTime.runFor(2 * SECOND_MS);
        answers(router, "GRANTED");
    }

    /** Lets a router run a call. */
    @Given("router {string} runs mould release {string} for {string}")
    public void runs_mould_release(String router, String id, String body) {
        runs_manifest_entry(router, id, body);
    }

    /** Records the outcome of the call that a router ran. */
    @When("router {string} records {string}")
    public void records(String router, String body) {
        mFleet.outcome(mAsked.get(router), body);
    }

    /** Checks what a router answered. */
    @Then("router {string} answers {string}")
    public void answers(String router, String answer) {
        Either<Failure, ClaimOutcome> told = mFleet.mClaimed.get(mAsked.get(router));
        assertThat(told).as("answer of %s", router).isNotNull();
        if (answer.equals("not run")) {
            assertThat(told.getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
        } else {
            assertThat(told.get().status().name()).isEqualTo(answer);
        }
    }

    /** Checks the recorded outcome that a router passes on. */
    @Then("router {string} passes on {string}")
    public void passes_on(String router, String body) {
        ClaimOutcome told = mFleet.mClaimed.get(mAsked.get(router)).get();
        assertThat(told.recorded().orElseThrow().body()).isEqualTo(body);
    }

    /** Checks how often a call ran. */
    @Then("entry {string} ran at most once")
    public void entry_ran_at_most_once(String id) {
        assertThat(runs(id)).isLessThanOrEqualTo(1);
    }

    /** Checks how often a call ran. */
    @Then("entry {string} ran once")
    public void entry_ran_once(String id) {
        assertThat(runs(id)).isEqualTo(1);
    }

    /** Checks how often a call ran. */
    @Then("release {string} ran once")
    public void release_ran_once(String id) {
        entry_ran_once(id);
    }

    /** Checks how often a call ran. */
    @Then("release {string} ran never")
    public void release_ran_never(String id) {
        assertThat(runs(id)).isZero();
    }

    /** Checks what the records tell about a call. */
    @Then("the log holds one claim at most that stands for {string}")
    public void log_holds_one_claim_at_most(String id) {
        assertThat(mFleet.audit().openClaims())
                .filteredOn(c -> c.key().request().value().equals(id))
                .hasSizeLessThanOrEqualTo(1);
    }

    private long runs(String id) {
        return mFleet.mClaimed.entrySet().stream()
                .filter(e -> requestOf(e.getKey()).equals(id))
                .filter(e -> e.getValue().isRight())
                .filter(e -> e.getValue().get().status() == ClaimOutcome.Status.GRANTED)
                .count();
    }

    private String requestOf(AttemptId attempt) {
        Claim claim = mFleet.mClaims.get(attempt);
        return claim.key().request().value();
    }

    /** Bills a request. */
    @When("router {string} bills review {string} with {int} tokens")
    public void bills(String router, String id, int tokens) {
        mFleet.bill(mRouters.get(router), id, tokens);
    }

    /** Bills many requests, each by two attempts. */
    @When("{int} reviews with {int} tokens are billed, each by two routers")
    public void many_are_billed(int reviews, int tokens) {
        List<VmId> vms = mFleet.vms();
        for (int i = 0; i < reviews; i++) {
            mFleet.bill(vms.get(i % vms.size()), "M" + i, tokens);
            mFleet.bill(vms.get((i + 1) % vms.size()), "M" + i, tokens);
            mFleet.mTime.runFor(SECOND_MS / 2);
        }
    }

    /** Checks the records. */
    @Then("review {string} is billed with {int} tokens")
    public void is_billed_with(String id, int tokens) {
        assertThat(mFleet.audit().sum().tokens()).as(id).isEqualTo(tokens);
    }

    /** Checks the answers and the records. */
    @Then("one bill stands for review {string}")
    public void one_bill_stands(String id) {
        assertThat(mFleet.audit().sum().bills()).as(id).isEqualTo(1);
        assertThat(mFleet.billed()).hasSize(1);
    }

    /** Checks the answers. */
    @Then("{int} tokens are refunded")
    public void are_refunded(int tokens) {
        long refunded =
                mFleet.mBilled.keySet().stream()
                        .mapToLong(a -> mFleet.mBills.get(a).tokens() - mFleet.charged(a))
                        .sum();
        assertThat(refunded).isEqualTo(tokens);
    }

    /** Checks the answers. */
    @Then("the routers settle {int} tokens")
    public void are_settled(int tokens) {
        assertThat(mFleet.settled()).isEqualTo(tokens);
    }

    /** Checks the answers and the records. */
    @Then("{int} tokens are billed and {int} are refunded")
    public void are_billed_and_refunded(int billed, int refunded) {
        assertThat(mFleet.audit().sum().tokens()).isEqualTo(billed);
        assertThat(mFleet.audit().sum().duplicateTokens()).isEqualTo(refunded);
        are_refunded(refunded);
    }

    /** Checks that no bill was answered. */
    @Then("nothing is billed")
    public void nothing_is_billed() {
        assertThat(mFleet.mBilled).isEmpty();
    }
}
