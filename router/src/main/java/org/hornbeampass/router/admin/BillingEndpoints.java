package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.StatementView;
import org.hornbeampass.protocol.admin.UsageLine;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.List;

/**
 * The endpoints for bills, usage, statements and the audit.
 *
 * <p>Thread-safe: holds no state of its own.
 */
final class BillingEndpoints {
    private final BillingPort mBilling;
    private final AccountReader mReader;

    BillingEndpoints(BillingPort billing, AccountReader reader) {
        mBilling = billing;
        mReader = reader;
    }

    List<AdminRoute> routes() {
        String one = AdminPaths.ORGANISATIONS + "/*";
        return List.of(
                new AdminRoute("GET", one + "/bills", this::bills),
                new AdminRoute("GET", one + "/usage", this::usage),
                new AdminRoute("GET", one + "/statement", this::statement),
                new AdminRoute("GET", AdminPaths.AUDIT, this::audit));
    }

    private void bills(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        Either<Failure, OrganisationSpec> organisation = mReader.findOrganisation(id);
        Either<Failure, Integer> limit = request.limit();
        if (organisation.isLeft() || limit.isLeft()) {
            reply.sendFailure(organisation.isLeft() ? organisation.getLeft() : limit.getLeft());
            return;
        }
        mBilling.bills(
                request.nowMs(),
                id,
                request.after(),
                limit.get(),
                (atMs, result) -> reply.sendWithAge(result));
    }

    private void usage(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        Either<Failure, OrganisationSpec> organisation = mReader.findOrganisation(id);
        if (organisation.isLeft()) {
            reply.sendFailure(organisation.getLeft());
            return;
        }
        mBilling.usage(request.nowMs(), id, (atMs, result) -> reply.sendWithAge(result));
    }

    private void statement(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        mReader.readAll(
                request.nowMs(),
                id,
                (atMs, accounts) -> {
                    if (accounts.isLeft()) {
                        reply.sendFailure(accounts.getLeft());
                        return;
                    }
                    mBilling.usage(
                            atMs,
                            id,
                            (laterMs, usage) ->
                                    reply.sendWithAge(
                                            usage.map(u -> statement(id, accounts.get(), u))));
                });
    }

    private void audit(AdminRequest request, AdminReply reply) {
        mBilling.audit(request.nowMs(), (atMs, result) -> reply.sendWithAge(result));
    }

    private static Aged<StatementView> statement(
            OrganisationId id, Aged<List<BudgetView>> accounts, Aged<UsageView> usage) {
        List<StatementView.Line> lines =
                accounts.value().stream().map(a -> line(a, usage.value())).toList();
        return new Aged<>(new StatementView(id, lines), Math.max(accounts.ageMs(), usage.ageMs()));
    }

    private static StatementView.Line line(BudgetView account, UsageView usage) {
        List<UsageLine> drawn =
                usage.lines().stream().filter(l -> l.budget().equals(account.budget())).toList();
        return new StatementView.Line(
                account,
                drawn.stream().mapToLong(UsageLine::bills).sum(),
                drawn.stream().mapToLong(UsageLine::tokens).sum());
    }
}
