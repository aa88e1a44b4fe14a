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
 * Steps of the scenarios; a router that is granted a call runs it at once.
 *
 * <p>One instance per scenario. Not thread-safe: scenarios run on one thread.
 */
public final class RequestSteps {
    private static final long SECOND_MS = 1_000;
    private static final long MINUTE_MS = 60 * SECOND_MS;

    private final LedgerFleet mFleet = new LedgerFleet(7, LedgerFleet.settings(2));
    private final Map<String, VmId> mRouters = new HashMap<>();
    private final Map<String, AttemptId> mLastAttempts = new HashMap<>();

    /** Starts the routers. */
    @Given("routers {string}, {string} and {string}")
    public void routers(String one, String two, String three) {
        for (String name : List.of(one, two, three)) {
            mRouters.put(name, mFleet.start(name, 1));
        }
        mFleet.mTime.runFor(SECOND_MS);
    }

    /** Drops every reply of the platform. */
    @Given("the platform loses every reply")
    public void platform_loses_every_reply() {
        mFleet.mPlatform.setLossRates(0, 1);
    }

    /** Sets the share of messages that are lost. */
    @Given("the platform and the network lose {int} of 10 messages")
    public void platform_and_network_lose(int tenths) {
        mFleet.mPlatform.setLossRates(tenths / 10.0, tenths / 10.0);
        mFleet.mPeers.setDropRate(tenths / 10.0);
    }

    /** Ends the loss of messages. */
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
    @When("the platform is available again")
    public void platform_is_available_again() {
        mFleet.mPlatform.setOutage(false);
    }

    /** Isolates a router from the platform. */
    @Given("router {string} is isolated from the platform")
    public void router_is_isolated_from_the_platform(String name) {
        mFleet.mPlatform.cut(mRouters.get(name));
    }

    /** Isolates a router from its peers. */
    @Given("router {string} is isolated from the other routers")
    public void router_is_isolated_from_the_other_routers(String name) {
        mRouters.keySet().forEach(other -> mFleet.mPeers.cut(name, other));
    }

    /** Makes each router see only itself as a live member. */
    @Given("every router sees only itself as live")
    public void every_router_sees_only_itself() {
        mRouters.values().forEach(vm -> mFleet.setLiveMembers(vm, vm));
        mFleet.mTime.runFor(2 * SECOND_MS);
    }

    /** Pauses a router. */
    @Given("router {string} is paused")
    public void router_is_paused(String name) {
        mFleet.mVms.pause(mRouters.get(name));
    }

    /** Resumes a router. */
    @When("router {string} resumes")
    public void router_resumes(String name) {
        mFleet.mVms.resume(mRouters.get(name));
    }

    /** Removes a router from the live members of the others. */
    @Given("all other routers consider router {string} dead")
    public void others_consider_router_dead(String name) {
        VmId[] others =
                mRouters.entrySet().stream()
                        .filter(e -> !e.getKey().equals(name))
                        .map(Map.Entry::getValue)
                        .toArray(VmId[]::new);
        for (VmId other : others) {
            mFleet.setLiveMembers(other, others);
        }
    }

    /** Kills a router. */
    @When("router {string} crashes")
    public void router_crashes(String name) {
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

    /** Claims a call that may not be repeated on a router. */
    @When("router {string} is asked for manifest entry {string} for {string}")
    public void claim_manifest_entry(String router, String id, String body) {
        mLastAttempts.put(router, mFleet.claim(mRouters.get(router), id, body));
    }

    /** Claims a call that may not be repeated on a router. */
    @When("router {string} is asked for mould release {string} for {string}")
    public void claim_mould_release(String router, String id, String body) {
        claim_manifest_entry(router, id, body);
    }

    /** Claims a call on a router and checks that it runs. */
    @Given("router {string} runs manifest entry {string} for {string}")
    public void runs_manifest_entry(String router, String id, String body) {
        claim_manifest_entry(router, id, body);
        mFleet.mTime.runFor(2 * SECOND_MS);
        answers(router, "GRANTED");
    }

    /** Claims a call on a router and checks that it runs. */
    @Given("router {string} runs mould release {string} for {string}")
    public void runs_mould_release(String router, String id, String body) {
        runs_manifest_entry(router, id, body);
    }

    /** Records the outcome of the call that a router ran. */
    @When("router {string} records {string}")
    public void records(String router, String body) {
        mFleet.recordOutcome(mLastAttempts.get(router), body);
    }

    /** Checks the status with which a router answered. */
    @Then("router {string} answers {string}")
    public void answers(String router, String answer) {
        Either<Failure, ClaimOutcome> reply = mFleet.mClaimReplies.get(mLastAttempts.get(router));
        assertThat(reply).as("answer of %s", router).isNotNull();
        if (answer.equals("not run")) {
            assertThat(reply.getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
        } else {
            assertThat(reply.get().status().name()).isEqualTo(answer);
        }
    }

    /** Checks the recorded outcome that a router returns. */
    @Then("router {string} returns {string}")
    public void returns(String router, String body) {
        ClaimOutcome reply = mFleet.mClaimReplies.get(mLastAttempts.get(router)).get();
        assertThat(reply.recorded().orElseThrow().body()).isEqualTo(body);
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
    @Then("release {string} never ran")
    public void release_never_ran(String id) {
        assertThat(runs(id)).isZero();
    }

    /** Checks the open claims of a call in the audit. */
    @Then("the log holds at most one open claim for {string}")
    public void log_holds_at_most_one_open_claim(String id) {
        assertThat(mFleet.audit().openClaims())
                .filteredOn(c -> c.key().request().value().equals(id))
                .hasSizeLessThanOrEqualTo(1);
    }

    private long runs(String id) {
        return mFleet.mClaimReplies.entrySet().stream()
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

    /** Checks the audit. */
    @Then("review {string} is billed with {int} tokens")
    public void is_billed_with(String id, int tokens) {
        assertThat(mFleet.audit().sum().tokens()).as(id).isEqualTo(tokens);
    }

    /** Checks the replies and the audit. */
    @Then("review {string} has exactly one bill")
    public void has_exactly_one_bill(String id) {
        assertThat(mFleet.audit().sum().bills()).as(id).isEqualTo(1);
        assertThat(mFleet.billedAttempts()).hasSize(1);
    }

    /** Checks the replies. */
    @Then("{int} tokens are refunded")
    public void are_refunded(int tokens) {
        long refunded =
                mFleet.mBillReplies.keySet().stream()
                        .mapToLong(a -> mFleet.mBills.get(a).tokens() - mFleet.chargedTokens(a))
                        .sum();
        assertThat(refunded).isEqualTo(tokens);
    }

    /** Checks the replies. */
    @Then("the routers settle {int} tokens")
    public void are_settled(int tokens) {
        assertThat(mFleet.settledTokens()).isEqualTo(tokens);
    }

    /** Checks the replies and the audit. */
    @Then("{int} tokens are billed and {int} are refunded")
    public void are_billed_and_refunded(int billed, int refunded) {
        assertThat(mFleet.audit().sum().tokens()).isEqualTo(billed);
        assertThat(mFleet.audit().sum().duplicateTokens()).isEqualTo(refunded);
        are_refunded(refunded);
    }

    /** Checks that no bill is decided. */
    @Then("nothing is billed")
    public void nothing_is_billed() {
        assertThat(mFleet.mBillReplies).isEmpty();
    }
}
