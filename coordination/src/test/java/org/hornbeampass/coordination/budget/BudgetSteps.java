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

/** Cucumber steps for the budgets' scenarios. VMs are numbered from 1. */
public final class BudgetSteps {
    private final Map<Integer, Reservation> mReservations = new HashMap<>();
    private BudgetSimulation mSimulation;
    private Either<Failure, Reservation> mLastOutcome;

    /** Starts VMs that are all homes of one budget. */
    @Given("{int} VMs and a budget of {long} tokens")
    public void start(int vms, long tokens) {
        mSimulation = new BudgetSimulation(vms, GrantPolicy.DEMAND_HORIZON, vms);
        mSimulation.topUp("opening", tokens);
    }

    /** Starts a request and keeps its reservation open. */
    @When("a request of at most {long} tokens starts on VM {int}")
    public void reserve(long tokens, int vm) {
        mLastOutcome = mSimulation.reserve(vm - 1, tokens);
        mLastOutcome.peek(r -> mReservations.put(vm, r));
    }

    /** Settles the reservation of a VM. */
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

    /** Reconnects a VM to the platform and its peers. */
    @When("VM {int} is reconnected")
    public void reconnect(int vm) {
        mSimulation.router(vm - 1).mCutFromPlatform = false;
        mSimulation.router(vm - 1).mCutFromPeers = false;
    }

    /** Tops up twice with the same id; the reply to the write that adds the tokens is lost. */
    @When("an operator tops up by {long} tokens, gets no reply and repeats it")
    public void topUpTwice(long tokens) {
        mSimulation.operatorFaultAt(3, BudgetSimulation.PlatformFault.REPLY_LOST);
        mSimulation.topUp("during", tokens);
        mSimulation.topUp("during", tokens);
    }

    /** Lowers the paid tokens. */
    @When("an operator lowers the budget to {long} tokens")
    public void lower(long tokens) {
        mSimulation.lower(tokens);
    }

    /** Stops the process of a VM permanently. */
    @When("VM {int} crashes")
    public void crash(int vm) {
        mSimulation.crash(vm - 1);
    }

    /** Pauses the process of a VM. */
    @When("VM {int} is paused")
    public void pause(int vm) {
        mSimulation.router(vm - 1).mPaused = true;
    }

    /** Resumes a paused VM. */
    @When("VM {int} resumes")
    public void resume(int vm) {
        mSimulation.resume(vm - 1);
    }

    /** Declares a VM gone on all other VMs. */
    @When("VM {int} is declared gone")
    public void declareGone(int vm) {
        for (int i = 0; i < mSimulation.size(); i++) {
            if (i != vm - 1) {
                mSimulation.ledger(i).onVmGone(mSimulation.nowMs(), mSimulation.router(vm - 1).mId);
            }
        }
    }

    /** Advances the virtual time. */
    @When("{int} seconds pass")
    public void passTime(int seconds) {
        mSimulation.run(seconds * 1_000L);
    }

    /** Checks that the last request was admitted. */
    @Then("the request is admitted")
    public void admitted() {
        assertThat(mLastOutcome.isRight()).as(() -> mLastOutcome.toString()).isTrue();
    }

    /** Checks the kind of error with which the last request was refused. */
    @Then("the request is refused as {word}")
    public void refused(String kind) {
        assertThat(mLastOutcome.getLeft().kind()).isEqualTo(ErrorKind.valueOf(kind));
    }

    /** Checks the paid tokens. */
    @Then("{long} tokens are paid")
    public void paid(long tokens) {
        assertThat(mSimulation.statement().paid()).isEqualTo(tokens);
    }

    /** Checks the settled tokens. */
    @Then("{long} tokens are settled")
    public void settled(long tokens) {
        assertThat(mSimulation.statement().settled()).isEqualTo(tokens);
    }

    /** Checks the least number of tokens written off. */
    @Then("at least {long} tokens are written off")
    public void writtenOff(long tokens) {
        assertThat(mSimulation.statement().writtenOff()).isGreaterThanOrEqualTo(tokens);
    }

    /** Checks that no tokens were written off. */
    @Then("no tokens are written off")
    public void nothingWrittenOff() {
        assertThat(mSimulation.statement().writtenOff()).isZero();
    }

    /** Checks that the statement reconciles and the audit finds no violation. */
    @Then("the statement reconciles exactly and the audit finds no violation")
    public void reconciles() {
        assertThat(mSimulation.statement().reconciles()).isTrue();
        assertThat(BudgetAdmin.audit(BudgetSimulation.ORGANISATION, mSimulation.record()))
                .isEmpty();
    }
}
