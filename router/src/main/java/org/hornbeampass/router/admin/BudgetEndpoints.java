package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BudgetList;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.PaidBody;
import org.hornbeampass.protocol.admin.TopUpBody;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The endpoints for budgets.
 *
 * <p>Invariant: a top-up carries an id and is applied at most once for each id. Thread-safe: holds
 * no state of its own.
 */
final class BudgetEndpoints {
    private static final Logger LOG = LogManager.getLogger(BudgetEndpoints.class);

    private final AdminPorts mPorts;
    private final ConfigChanges mChanges;
    private final AccountReader mReader;

    BudgetEndpoints(AdminPorts ports, ConfigChanges changes, AccountReader reader) {
        mPorts = ports;
        mChanges = changes;
        mReader = reader;
    }

    List<AdminRoute> routes() {
        String all = AdminPaths.ORGANISATIONS + "/*/budgets";
        String one = all + "/*";
        return List.of(
                new AdminRoute("GET", all, this::list),
                new AdminRoute("GET", one, this::show),
                new AdminRoute("POST", one, this::create),
                new AdminRoute("DELETE", one, this::delete),
                new AdminRoute("POST", one + "/top-up", this::topUp),
                new AdminRoute("PUT", one + "/paid", this::setPaid));
    }

    private void list(AdminRequest request, AdminReply reply) {
        mReader.readAll(
                request.nowMs(),
                new OrganisationId(request.variable(0)),
                (atMs, result) ->
                        reply.sendWithAge(
                                result.map(a -> new Aged<>(new BudgetList(a.value()), a.ageMs()))));
    }

    private void show(AdminRequest request, AdminReply reply) {
        readOne(request, (atMs, result) -> reply.sendWithAge(result));
    }

    private void readOne(
            AdminRequest request, BiConsumer<Long, Either<Failure, Aged<BudgetView>>> done) {
        Either<Failure, BudgetKey> key = findBudget(request);
        if (key.isLeft()) {
            done.accept(request.nowMs(), Either.left(key.getLeft()));
            return;
        }
        mReader.readAll(
                request.nowMs(),
                key.get().organisation(),
                (atMs, result) ->
                        done.accept(atMs, result.map(a -> select(a, key.get().budget()))));
    }

    private static Aged<BudgetView> select(Aged<List<BudgetView>> all, BudgetId budget) {
        BudgetView view =
                all.value().stream()
                        .filter(b -> b.budget().equals(budget))
                        .findFirst()
                        .orElseThrow();
        return new Aged<>(view, all.ageMs());
    }

    private void create(AdminRequest request, AdminReply reply) {
        Optional<String> fault = AdminChecks.name("budget", request.variable(1));
        if (fault.isPresent()) {
            reply.sendFailure(Failure.of(ErrorKind.FIELD_INVALID, fault.get()));
            return;
        }
        BudgetId budget = new BudgetId(request.variable(1));
        modify(request, reply, spec -> withBudget(spec, budget));
    }

    private void delete(AdminRequest request, AdminReply reply) {
        readOne(
                request,
                (atMs, account) -> {
                    Optional<Failure> fault =
                            account.fold(Optional::of, BudgetEndpoints::notDeletable);
                    if (fault.isPresent()) {
                        reply.sendFailure(fault.get());
                        return;
                    }
                    BudgetId budget = account.get().value().budget();
                    modify(request, reply, spec -> withoutBudget(spec, budget));
                });
    }

    private void topUp(AdminRequest request, AdminReply reply) {
        Either<Failure, BudgetKey> key = findBudget(request);
        Either<Failure, TopUpBody> body =
                request.body(TopUpBody.class).flatMap(BudgetEndpoints::validate);
        if (key.isLeft() || body.isLeft()) {
            reply.sendFailure(key.isLeft() ? key.getLeft() : body.getLeft());
            return;
        }
        TopUpBody topUp = body.get();
        mPorts.accounts()
                .topUp(
                        request.nowMs(),
                        key.get(),
                        topUp.id(),
                        topUp.tokens(),
                        (atMs, result) -> {
                            String what = "topped up with id " + topUp.id();
                            log(request, key.get(), what, topUp.tokens(), result);
                            reply.sendResult(result);
                        });
    }

    private void setPaid(AdminRequest request, AdminReply reply) {
        Either<Failure, BudgetKey> key = findBudget(request);
        Either<Failure, PaidBody> body =
                request.body(PaidBody.class).flatMap(BudgetEndpoints::validate);
        if (key.isLeft() || body.isLeft()) {
            reply.sendFailure(key.isLeft() ? key.getLeft() : body.getLeft());
            return;
        }
        mPorts.accounts()
                .setPaid(
                        request.nowMs(),
                        key.get(),
                        body.get().paid(),
                        body.get().expectedPaid(),
                        (atMs, result) -> {
                            log(request, key.get(), "set paid", body.get().paid(), result);
                            reply.sendResult(result);
                        });
    }

    private static void log(
            AdminRequest request,
            BudgetKey key,
            String action,
            long tokens,
            Either<Failure, BudgetView> result) {
        String outcome = result.fold(f -> f.kind().code(), b -> "done, paid is " + b.paid());
        LOG.info(
                "operator {} budget {} {} ({} tokens): {}",
                request.operator(),
                key,
                action,
                tokens,
                outcome);
    }

    private void modify(AdminRequest request, AdminReply reply, Change change) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.sendFailure(expected.getLeft());
            return;
        }
        OrganisationId id = new OrganisationId(request.variable(0));
        mChanges.modify(
                request,
                ObjectKey.organisation(id),
                expected.get(),
                () -> mReader.findOrganisation(id).flatMap(change::of),
                (atMs, result) -> reply.sendResult(result));
    }

    private Either<Failure, BudgetKey> findBudget(AdminRequest request) {
        OrganisationId id = new OrganisationId(request.variable(0));
        BudgetId budget = new BudgetId(request.variable(1));
        return mReader.findOrganisation(id)
                .flatMap(
                        spec ->
                                spec.budgets().contains(budget)
                                        ? Either.right(new BudgetKey(id, budget))
                                        : Either.left(unknownBudget(spec, budget)));
    }

    private static Either<Failure, ConfigChange> withBudget(
            OrganisationSpec spec, BudgetId budget) {
        if (spec.budgets().contains(budget)) {
            return Either.left(
                    Failure.of(
                            ErrorKind.ALREADY_EXISTS,
                            "organisation "
                                    + spec.id()
                                    + " has a budget "
                                    + budget
                                    + " already; top it up, or take another name"));
        }
        if (spec.budgets().size() >= AdminChecks.MAX_BUDGETS) {
            return Either.left(
                    Failure.of(
                            ErrorKind.FIELD_INVALID,
                            "organisation "
                                    + spec.id()
                                    + " has "
                                    + AdminChecks.MAX_BUDGETS
                                    + " budgets, which is the limit; delete one first"));
        }
        Set<BudgetId> budgets = new HashSet<>(spec.budgets());
        budgets.add(budget);
        return Either.right(withBudgets(spec, budgets));
    }

    private static Either<Failure, ConfigChange> withoutBudget(
            OrganisationSpec spec, BudgetId budget) {
        Set<BudgetId> budgets = new HashSet<>(spec.budgets());
        budgets.remove(budget);
        return budgets.isEmpty()
                ? Either.left(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "budget "
                                        + budget
                                        + " is the last one of organisation "
                                        + spec.id()
                                        + "; create another first, or delete the organisation"))
                : Either.right(withBudgets(spec, budgets));
    }

    private static ConfigChange withBudgets(OrganisationSpec spec, Set<BudgetId> budgets) {
        return new ConfigChange.PutOrganisation(
                new OrganisationSpec(
                        spec.id(), spec.template(), spec.overrides(), budgets, spec.keyHashes()));
    }

    private static Optional<Failure> notDeletable(Aged<BudgetView> account) {
        if (account.ageMs() > 0) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "the budget's account can't be read at present; try again later"));
        }
        long left = account.value().available() + account.value().held();
        return left == 0
                ? Optional.empty()
                : Optional.of(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "budget "
                                        + account.value().budget()
                                        + " has "
                                        + left
                                        + " tokens that are paid but not spent; lower it first"));
    }

    private static Either<Failure, TopUpBody> validate(TopUpBody body) {
        List<String> faults = new ArrayList<>();
        AdminChecks.name("id", body.id()).ifPresent(faults::add);
        AdminChecks.range(faults, "tokens", body.tokens(), 1, BudgetRecord.MAX_TOKENS);
        return AdminChecks.validOrFailure(faults, body);
    }

    private static Either<Failure, PaidBody> validate(PaidBody body) {
        List<String> faults = new ArrayList<>();
        AdminChecks.range(faults, "paid", body.paid(), 0, BudgetRecord.MAX_TOKENS);
        return AdminChecks.validOrFailure(faults, body);
    }

    private static Failure unknownBudget(OrganisationSpec spec, BudgetId budget) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "organisation "
                        + spec.id()
                        + " has no budget "
                        + AdminChecks.shortened(budget.value())
                        + "; it has: "
                        + String.join(
                                ", ",
                                spec.budgets().stream().map(BudgetId::value).sorted().toList()));
    }

    /** Computes the change of an organisation from its present configuration. */
    @FunctionalInterface
    private interface Change {
        Either<Failure, ConfigChange> of(OrganisationSpec spec);
    }
}
