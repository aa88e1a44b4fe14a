package org.hornbeampass.coordination.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vavr.control.Either;

import org.hornbeampass.coordination.address.AddressQuery;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.OrganisationTerms;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.testing.FakeFleet;
import org.hornbeampass.testing.FakeRouter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/** Steps of the scenarios on membership, addresses and configuration. */
public class FleetSteps {
    private static final long SEED = 20_261_202;
    private static final long STEP_MS = 100;

    private final List<Either<Failure, Long>> mAnswers = new ArrayList<>();
    private FakeFleet mFleet;
    private ConfigChange mLastAccepted;

    @Given("{int} VMs in {int} region(s)")
    public void vms(int count, int regions) {
        mFleet = FakeFleet.started(SEED, count, regions, regions == 1 ? 3 : 2);
    }

    @Given("the template {string} has priority {int}")
    public void templateHasPriority(String name, int priority) {
        proposeAndExpectAccepted("vm-0", template(name, priority));
    }

    @Given("the organisation {string} uses template {string}")
    public void organisationUses(String id, String template) {
        proposeAndExpectAccepted("vm-0", organisation(id, template, Parameters.none()));
    }

    @Given("the organisation {string} uses template {string} with its own priority {int}")
    public void organisationOverrides(String id, String template, int priority) {
        proposeAndExpectAccepted("vm-0", organisation(id, template, priority(priority)));
    }

    @Given("the platform loses half of its replies")
    public void platformLosesReplies() {
        mFleet.platform().setLossRates(0, 0.5);
    }

    @Given("the VMs of region {string} are cut off from the platform")
    public void cutOffFromPlatform(String region) {
        mFleet.running().stream()
                .filter(r -> r.self().region().value().equals(region))
                .forEach(r -> mFleet.platform().cut(r.vm()));
    }

    @Given("region {string} is cut off from the platform and from all other VMs")
    public void cutOff(String region) {
        cutOffFromPlatform(region);
        mFleet.isolate(m -> m.region().value().equals(region));
    }

    @Given("the platform is out of service")
    public void platformOut() {
        mFleet.platform().setOutage(true);
    }

    @When("the platform is back in service")
    public void platformBack() {
        mFleet.platform().setOutage(false);
    }

    @When(
            "an operator at {string} and an operator at {string} set the priority of template"
                    + " {string} to {int} and {int} at once")
    public void operatorsRace(String one, String other, String name, int first, int second) {
        propose(one, template(name, first));
        propose(other, template(name, second));
        mFleet.runFor(3_000);
    }

    @When("an operator at {string} sets the priority of template {string} to {int}")
    public void operatorSets(String vm, String name, int priority) {
        propose(vm, template(name, priority));
    }

    @When("the change is reported as accepted")
    public void acceptedSoon() {
        acceptedWithin(5);
    }

    @When("{int} s pass")
    public void pass(int seconds) {
        mFleet.runFor(seconds * 1_000L);
    }

    @When("all partitions end")
    public void partitionsEnd() {
        mFleet.network().healAll();
        mFleet.running().forEach(r -> mFleet.platform().heal(r.vm()));
    }

    @When("{string} is restarted")
    public void restarted(String vm) {
        mFleet.start(vm);
    }

    @When("all VMs are restarted")
    public void allRestarted() {
        mFleet.running().forEach(r -> mFleet.start(r.vm().name()));
    }

    @When("{string} begins its shutdown")
    public void leaves(String vm) {
        mFleet.router(vm).membership().leave(mFleet.nowMs());
    }

    @When("{string} crashes")
    public void crashes(String vm) {
        mFleet.kill(vm);
    }

    @When("all VMs of failure domain {string} crash")
    public void domainCrashes(String domain) {
        mFleet.running().stream()
                .filter(r -> r.self().domain().value().equals(domain))
                .forEach(r -> mFleet.kill(r.vm().name()));
    }

    @When("the platform's list still shows all VMs")
    public void listShowsAll() {
        mFleet.deliverPlatformList(1, r -> true);
    }

    @Then("one change is reported as accepted")
    public void oneAccepted() {
        assertThat(mAnswers).hasSize(2).filteredOn(Either::isRight).hasSize(1);
    }

    @Then("the other is rejected with REVISION_CONFLICT and the winning revision")
    public void otherRejected() {
        Failure failure = mAnswers.stream().filter(Either::isLeft).findFirst().get().getLeft();
        long won = mAnswers.stream().filter(Either::isRight).findFirst().get().get();
        assertThat(failure.kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(failure.message()).contains("revision " + won);
    }

    @Then("the accepted priority of template {string} is in force on all VMs within {int} s")
    public void acceptedInForce(String name, int seconds) {
        ConfigChange.PutTemplate accepted = (ConfigChange.PutTemplate) mLastAccepted;
        inForce(accepted.template().parameters().priority().get(), name, seconds);
    }

    @Then("the priority {int} of template {string} is in force on all VMs within {int} s")
    public void inForce(int priority, String name, int seconds) {
        assertWithin(seconds, r -> priority(r, name).equals(Optional.of(priority)));
    }

    @Then("within {int} s organisation {string} has priority {int} on all VMs")
    public void organisationWithin(int seconds, String id, int priority) {
        assertWithin(seconds, r -> termsPriority(r, id).equals(Optional.of(priority)));
    }

    @Then("organisation {string} has priority {int} on all VMs")
    public void organisationHas(String id, int priority) {
        assertThat(mFleet.running())
                .allMatch(r -> termsPriority(r, id).equals(Optional.of(priority)));
    }

    @Then("within {int} s the change is reported as accepted")
    public void acceptedWithin(int seconds) {
        mFleet.runFor(seconds * 1_000L);
        assertThat(mAnswers).hasSize(1).allMatch(Either::isRight);
    }

    @Then("the platform stores the change once")
    public void storedOnce() {
        List<PlatformReply.StoredObject> objects = new ArrayList<>();
        mFleet.platform()
                .store()
                .submit(
                        0,
                        new PlatformCall.ListObjects("config/log/", "", 100),
                        (t, reply) -> objects.addAll(((PlatformReply.Listed) reply).objects()));
        assertThat(objects).hasSize(1);
    }

    @Then("{string} is ready within {int} s with priority {int} of template {string}")
    public void readyWithin(String vm, int seconds, int priority, String name) {
        mFleet.runFor(seconds * 1_000L);
        assertThat(mFleet.router(vm).config().ready()).isTrue();
        assertThat(priority(mFleet.router(vm), name)).contains(priority);
    }

    @Then("no VM is ready, and each reports the reason")
    public void noneReady() {
        assertThat(mFleet.running()).noneMatch(r -> r.config().ready());
        assertThat(mFleet.running())
                .allMatch(r -> r.config().readinessFailure().get().message().contains("platform"));
    }

    @Then("{string} is in no address answer within {int} s")
    public void inNoAnswer(String vm, int seconds) {
        mFleet.runFor(seconds * 1_000L);
        VmId left = mFleet.router(vm).vm();
        assertThat(mFleet.running()).noneMatch(r -> answer(r).contains(left));
    }

    @Then("within {int} s each answer holds only VMs of the failure domains {string} and {string}")
    public void onlyDomains(int seconds, String one, String other) {
        mFleet.runFor(seconds * 1_000L);
        for (FakeRouter router : mFleet.running()) {
            assertThat(router.addresses().answer(0, AddressQuery.any()).addresses())
                    .extracting(a -> a.domain().value())
                    .contains(one, other)
                    .allMatch(d -> d.equals(one) || d.equals(other));
        }
    }

    @Then("no running VM is proved gone")
    public void noneProvedGone() {
        assertThat(mFleet.running()).allMatch(r -> r.provedGone().isEmpty());
    }

    @Then("all VMs see each other live within {int} s")
    public void allLive(int seconds) {
        int size = mFleet.running().size();
        assertWithin(seconds, r -> r.membership().view().live().size() == size);
    }

    private void assertWithin(int seconds, Predicate<FakeRouter> holds) {
        for (long ms = 0; ms < seconds * 1_000L; ms += STEP_MS) {
            if (mFleet.running().stream().allMatch(holds)) {
                return;
            }
            mFleet.runFor(STEP_MS);
        }
        assertThat(mFleet.running()).allMatch(holds);
    }

    private void proposeAndExpectAccepted(String vm, ConfigChange change) {
        propose(vm, change);
        mFleet.runFor(5_000);
        assertThat(mAnswers).hasSize(1).allMatch(Either::isRight);
        mAnswers.clear();
    }

    private void propose(String vm, ConfigChange change) {
        mFleet.router(vm)
                .config()
                .propose(
                        mFleet.nowMs(),
                        change,
                        OptionalLong.empty(),
                        (t, answer) -> {
                            mAnswers.add(answer);
                            answer.peek(revision -> mLastAccepted = change);
                        });
    }

    private List<VmId> answer(FakeRouter router) {
        return router.addresses().answer(0, AddressQuery.any()).addresses().stream()
                .map(a -> a.vm())
                .toList();
    }

    private static Optional<Integer> priority(FakeRouter router, String template) {
        return Optional.ofNullable(router.config().snapshot().templates().get(template))
                .flatMap(t -> t.parameters().priority());
    }

    private static Optional<Integer> termsPriority(FakeRouter router, String id) {
        ConfigSnapshot snapshot = router.config().snapshot();
        return snapshot.terms(new OrganisationId(id)).map(OrganisationTerms::priority);
    }

    private static Parameters priority(int priority) {
        Parameters none = Parameters.none();
        return new Parameters(
                none.models(),
                none.adapters(),
                none.services(),
                none.workKinds(),
                Optional.of(priority),
                none.maxCompletionTokens(),
                none.maxConcurrent(),
                none.requestsPerSecond(),
                none.budgetPreference());
    }

    private static ConfigChange template(String name, int priority) {
        return new ConfigChange.PutTemplate(new Template(name, priority(priority)));
    }

    private static ConfigChange organisation(String id, String template, Parameters overrides) {
        return new ConfigChange.PutOrganisation(
                new OrganisationSpec(
                        new OrganisationId(id), template, overrides, Set.of(), Map.of()));
    }
}
