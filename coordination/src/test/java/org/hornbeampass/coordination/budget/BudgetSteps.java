package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.budget.Reservation;

import java.util.HashMap;
import java.util.Map;

/** Steps of the budgets' scenarios; VMs are numbered from 1. */
public final class BudgetSteps {
    private final Map<Integer, Reservation> mReservations = new HashMap<>();
    private BudgetSimulation mSimulation;
    private Either<Failure, Reservation> mLastOutcome;

    /** Starts VMs that all draw on one budget. */
    @Given("{int} VMs and a budget of {long} tokens")
    public void start(int vms, long tokens) {
        mSimulation = new BudgetSimulation(vms, GrantPolicy.DEMAND_HORIZON, vms);
        mSimulation.topUp("opening", tokens);
    }

    /** Starts a request that holds its reservation. */
    @When("a request of at most {long} tokens starts on VM {int}")
    public void reserve(long tokens, int vm) {
        mLastOutcome = mSimulation.reserve(vm - 1, tokens);
        mLastOutcome.peek(r -> mReservations.put(vm, r));
    }

    /** Ends the request of a VM. */
    @When("the request on VM {int} ends with {long} tokens used")
    public void settle(int vm, long used) {
        mSimulation.ledger(vm - 1).settle(mSimulation.nowMs(), mReservations.get(vm), used);
    }

    /** Cuts a VM off from the platform and its peers. */
    @When("VM {int} is cut off from all others")
    public void cutOff(int vm) {
        mSimulation.router(vm - 1).mCutFromPlatform = true;
        mSimulation.router(vm - 1).mCutFromPeers = true;
    }

    /** Ends the partition of a VM. */
    @When("VM {int} is reached again")
    public void reconnect(int vm) {
        mSimulation.router(vm - 1).mCutFromPlatform = false;
        mSimulation.router(vm - 1).mCutFromPeers = false;
    }

    /** Adds tokens, whose first reply is lost, so that the operator repeats it. */
    @When("an operator tops up by {long} tokens, gets no reply and repeats it")
    public void topUpTwice(long tokens) {
        mSimulation.operatorFaultAt(3, BudgetSimulation.PlatformFault.REPLY_LOST);
        mSimulation.topUp("during", tokens);
        mSimulation.topUp("during", tokens);
    }

    /** Lowers what is paid. */
    @When("an operator lowers the budget to {long} tokens")
    public void lower(long tokens) {
        mSimulation.lower(tokens);
    }

    /** Stops a VM's process for good. */
    @When("VM {int} dies")
    public void crash(int vm) {
        mSimulation.crash(vm - 1);
    }

    /** Pauses a VM's process. */
    @When("VM {int} is paused")
    public void pause(int vm) {
        mSimulation.router(vm - 1).mPaused = true;
    }

    /** Lets a paused VM go on. */
    @When("VM {int} wakes up")
    public void resume(int vm) {
        mSimulation.resume(vm - 1);
    }

    /** Tells all others that a VM is gone. */
    @When("VM {int} is declared gone")
    public void declareGone(int vm) {
        for (int i = 0; i < mSimulation.size(); i++) {
            if (i != vm - 1) {
                mSimulation.ledger(i).onVmGone(mSimulation.nowMs(), mSimulation.router(vm - 1).mId);
            }
        }
    }

    /** Lets time pass. */
    @When("{int} seconds pass")
    public void passTime(int seconds) {
        mSimulation.run(seconds * 1_000L);
    }

    /** The last request was admitted. */
    @Then("the request is admitted")
    public void admitted() {
        assertThat(mLastOutcome.isRight()).as(() -> mLastOutcome.toString()).isTrue();
    }

    /** The last request was refused with a kind. */
    @Then("the request is refused as {word}")
    public void refused(String kind) {
        assertThat(mLastOutcome.getLeft().kind()).isEqualTo(ErrorKind.valueOf(kind));
    }

    /** Checks what was paid. */
    @Then("{long} tokens are paid")
    public void paid(long tokens) {
        assertThat(mSimulation.statement().paid()).isEqualTo(tokens);
    }

    /** Checks what was settled. */
    @Then("{long} tokens are settled")
    public void settled(long tokens) {
        assertThat(mSimulation.statement().settled()).isEqualTo(tokens);
    }

    /** Checks what was written off. */
    @Then("at least {long} tokens are written off")
    public void writtenOff(long tokens) {
        assertThat(mSimulation.statement().writtenOff()).isGreaterThanOrEqualTo(tokens);
    }

    /** Checks that nothing was written off. */
    @Then("no tokens are written off")
    public void nothingWrittenOff() {
        assertThat(mSimulation.statement().writtenOff()).isZero();
    }

    /** Checks the statement and the audit. */
    @Then("the statement reconciles to the token and the audit finds nothing")
    public void reconciles() {
        assertThat(mSimulation.statement().reconciles()).isTrue();
        assertThat(BudgetAdmin.audit(BudgetSimulation.ORGANISATION, mSimulation.record()))
                .isEmpty();
    }
}
