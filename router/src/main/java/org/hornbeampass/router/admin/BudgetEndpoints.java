package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BudgetChange;
import org.hornbeampass.protocol.admin.BudgetChanged;
import org.hornbeampass.protocol.admin.BudgetList;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
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
 * <p>Invariant: a top-up or lowering carries an id and is applied once for it. Thread-safe: holds
 * no state of its own.
 */
final class BudgetEndpoints {
    private static final Logger LOG = LogManager.getLogger(BudgetEndpoints.class);
    private static final long MAX_TOKENS = 1_000_000_000_000_000L;

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
                new AdminRoute("POST", one + "/lower", this::lower));
    }

    private void list(AdminRequest request, AdminReply reply) {
        mReader.all(
                request.nowMs(),
                new OrganisationId(request.variable(0)),
                (atMs, result) ->
                        reply.read(
                                result.map(a -> new Aged<>(new BudgetList(a.value()), a.ageMs()))));
    }

    private void show(AdminRequest request, AdminReply reply) {
        Either<Failure, BudgetKey> key = existing(request);
        if (key.isLeft()) {
            reply.fail(key.getLeft());
            return;
        }
        mPorts.accounts().account(request.nowMs(), key.get(), (atMs, result) -> reply.read(result));
    }

    private void create(AdminRequest request, AdminReply reply) {
        Optional<String> fault = AdminChecks.name("budget", request.variable(1));
        if (fault.isPresent()) {
            reply.fail(Failure.of(ErrorKind.FIELD_INVALID, fault.get()));
            return;
        }
        BudgetId budget = new BudgetId(request.variable(1));
        modify(request, reply, spec -> withBudget(spec, budget));
    }

    private void delete(AdminRequest request, AdminReply reply) {
        Either<Failure, BudgetKey> key = existing(request);
        if (key.isLeft()) {
            reply.fail(key.getLeft());
            return;
        }
        mPorts.accounts()
                .account(
                        request.nowMs(),
                        key.get(),
                        (atMs, account) -> {
                            Optional<Failure> fault =
                                    account.fold(Optional::of, a -> stillPaid(a.value()));
                            if (fault.isPresent()) {
                                reply.fail(fault.get());
                                return;
                            }
                            modify(request, reply, s -> withoutBudget(s, key.get().budget()));
                        });
    }

    private void topUp(AdminRequest request, AdminReply reply) {
        change(request, reply, "topped up", mPorts.accounts()::topUp);
    }

    private void lower(AdminRequest request, AdminReply reply) {
        change(request, reply, "lowered", mPorts.accounts()::lower);
    }

    private void change(AdminRequest request, AdminReply reply, String verb, Operation operation) {
        Either<Failure, BudgetKey> key = existing(request);
        Either<Failure, BudgetChange> change =
                request.body(BudgetChange.class).flatMap(BudgetEndpoints::checked);
        if (key.isLeft() || change.isLeft()) {
            reply.fail(key.isLeft() ? key.getLeft() : change.getLeft());
            return;
        }
        operation.run(
                request.nowMs(),
                key.get(),
                change.get(),
                (atMs, result) -> {
                    result.peek(
                            c ->
                                    LOG.info(
                                            "operator {} {} budget {} by {} with id {} (repeated:"
                                                    + " {})",
                                            request.operator(),
                                            verb,
                                            key.get(),
                                            c.tokens(),
                                            c.id(),
                                            c.repeated()));
                    reply.done(result);
                });
    }

    private void modify(AdminRequest request, AdminReply reply, Change change) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.fail(expected.getLeft());
            return;
        }
        OrganisationId id = new OrganisationId(request.variable(0));
        mChanges.modify(
                request,
                ConfigObject.organisation(id.value()),
                expected.get(),
                () -> mReader.organisation(id).flatMap(change::of),
                (atMs, result) -> reply.done(result));
    }

    private Either<Failure, BudgetKey> existing(AdminRequest request) {
        OrganisationId id = new OrganisationId(request.variable(0));
        BudgetId budget = new BudgetId(request.variable(1));
        return mReader.organisation(id)
                .flatMap(
                        spec ->
                                spec.budgets().contains(budget)
                                        ? Either.right(new BudgetKey(id, budget))
                                        : Either.left(unknown(spec, budget)));
    }

    private static Either<Failure, ConfigEdit> withBudget(OrganisationSpec spec, BudgetId budget) {
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
        return Either.right(edit(spec, budgets));
    }

    private static Either<Failure, ConfigEdit> withoutBudget(
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
                : Either.right(edit(spec, budgets));
    }

    private static ConfigEdit edit(OrganisationSpec spec, Set<BudgetId> budgets) {
        return new ConfigEdit.PutOrganisation(
                new OrganisationSpec(
                        spec.id(), spec.template(), spec.overrides(), budgets, spec.keyHashes()));
    }

    private static Optional<Failure> stillPaid(BudgetView account) {
        long left = account.available() + account.held();
        return left == 0
                ? Optional.empty()
                : Optional.of(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "budget "
                                        + account.budget()
                                        + " has "
                                        + left
                                        + " tokens that are paid and not spent; lower it first"));
    }

    private static Either<Failure, BudgetChange> checked(BudgetChange change) {
        List<String> faults = new ArrayList<>();
        AdminChecks.name("id", change.id()).ifPresent(faults::add);
        AdminChecks.range(faults, "tokens", change.tokens(), 1, MAX_TOKENS);
        return AdminChecks.unless(faults, change);
    }

    private static Failure unknown(OrganisationSpec spec, BudgetId budget) {
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

    /** A change of an account. */
    @FunctionalInterface
    private interface Operation {
        void run(
                long nowMs,
                BudgetKey key,
                BudgetChange change,
                BiConsumer<Long, Either<Failure, BudgetChanged>> done);
    }

    /** A change of an organisation. */
    @FunctionalInterface
    private interface Change {
        Either<Failure, ConfigEdit> of(OrganisationSpec spec);
    }
}
