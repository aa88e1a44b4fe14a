package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BudgetList;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.protocol.admin.TopUpBody;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.util.Optional;

/**
 * Commands on budgets.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "budget",
        description = "Budgets: what organisations have paid for, in tokens.",
        subcommands = {
            BudgetCommand.Create.class,
            BudgetCommand.Show.class,
            BudgetCommand.Listing.class,
            BudgetCommand.Change.class,
            BudgetCommand.TopUp.class,
            BudgetCommand.Lower.class,
            BudgetCommand.Delete.class
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl budget top-up flight main 1000000 --id invoice-2026-117",
            "  hornbeamctl budget list flight"
        })
public final class BudgetCommand extends GroupCommand {
    private static String table(BudgetList list) {
        TextTable table =
                new TextTable("BUDGET", "PAID", "SPENT", "HELD", "WRITTEN OFF", "AVAILABLE");
        for (BudgetView b : list.items()) {
            table.row(b.budget(), b.paid(), b.spent(), b.held(), b.writtenOff(), b.available());
        }
        return table.text();
    }

    /** Creates a budget. */
    @Command(
            name = "create",
            description = "Adds a budget to an organisation, with nothing paid into it.",
            footer = {"%nExample:", "  hornbeamctl budget create flight spare"})
    static final class Create extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(
                    AdminCall.repeatablePost(mBudget.path()), Changed.class, Fields::table);
        }
    }

    /** Shows a budget. */
    @Command(
            name = "show",
            description = "Shows a budget's account in tokens.",
            footer = {"%nExample:", "  hornbeamctl budget show flight main"})
    static final class Show extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.get(mBudget.path()), BudgetView.class, Fields::table);
        }
    }

    /** Lists budgets. */
    @Command(
            name = "list",
            description = "Lists an organisation's budgets with their accounts in tokens.",
            footer = {"%nExample:", "  hornbeamctl budget list flight"})
    static final class Listing extends AdminCommand {
        @Parameters(paramLabel = "ORGANISATION", description = "The organisation.")
        private String mOrganisation;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(
                    AdminCall.get(Session.path(AdminPaths.ORGANISATIONS, mOrganisation, "budgets")),
                    BudgetList.class,
                    BudgetCommand::table);
        }
    }

    /** Adds to a budget. */
    @Command(
            name = "top-up",
            description = {
                "Adds tokens to what is paid, once for each id.",
                "Where an answer is lost the command sends the same id again."
            },
            footer = {
                "%nExample:",
                "  hornbeamctl budget top-up flight main 1000000 --id invoice-2026-117"
            })
    static final class TopUp extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Parameters(index = "2", paramLabel = "TOKENS", description = "How many tokens.")
        private long mTokens;

        @Option(names = "--id", paramLabel = "ID", description = "Names the top-up. Default: made.")
        private String mId;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            String id = Optional.ofNullable(mId).orElseGet(session.surroundings().newId());
            session.note("id " + id + "; with it the command is safe to repeat");
            return session.show(
                    AdminCall.repeatablePost(mBudget.path("top-up"), new TopUpBody(id, mTokens)),
                    BudgetView.class,
                    Fields::table);
        }
    }

    /** Lowers a budget. */
    @Command(
            name = "lower",
            description = {
                "Lowers what is paid to a total; safe to repeat.",
                "What VMs hold comes off as they give it back: `target` shows the total until then."
            },
            footer = {"%nExample:", "  hornbeamctl budget lower flight main --to 500000"})
    static final class Lower extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Option(
                names = "--to",
                required = true,
                paramLabel = "TOKENS",
                description = "The total that is to be paid.")
        private long mTo;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return new PaidEditor(mBudget.path(), mTo).lower(session);
        }
    }

    /** Sets what is paid. */
    @Command(
            name = "set",
            description = "Sets what is paid to a total, up or down; safe to repeat.",
            footer = {"%nExample:", "  hornbeamctl budget set flight main --paid 2000000"})
    static final class Change extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Option(
                names = "--paid",
                required = true,
                paramLabel = "TOKENS",
                description = "The total that is to be paid.")
        private long mPaid;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return new PaidEditor(mBudget.path(), mPaid).set(session);
        }
    }

    /** Deletes a budget. */
    @Command(
            name = "delete",
            description = "Removes a budget in which nothing is left.",
            footer = {"%nExample:", "  hornbeamctl budget delete flight spare"})
    static final class Delete extends AdminCommand {
        @Mixin private BudgetArguments mBudget;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.delete(mBudget.path(), 0), Changed.class, Fields::table);
        }
    }
}
