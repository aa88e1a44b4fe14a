package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.StatementView;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Shows an organisation's statement.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "statement",
        description = "Sets an organisation's bills beside what it paid, budget by budget.",
        footer = {"%nExample:", "  hornbeamctl statement flight"})
public final class StatementCommand extends AdminCommand {
    @Parameters(paramLabel = "ORGANISATION", description = "The organisation.")
    private String mOrganisation;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        return session.show(
                AdminCall.get(Session.path(AdminPaths.ORGANISATIONS, mOrganisation, "statement")),
                StatementView.class,
                StatementCommand::table);
    }

    private static String table(StatementView statement) {
        TextTable table =
                new TextTable(
                        "BUDGET",
                        "PAID",
                        "BILLS",
                        "BILLED",
                        "SPENT",
                        "HELD",
                        "WRITTEN OFF",
                        "AVAILABLE");
        for (StatementView.Line line : statement.lines()) {
            BudgetView b = line.account();
            table.row(
                    b.budget(),
                    b.paid(),
                    line.bills(),
                    line.billedTokens(),
                    b.spent(),
                    b.held(),
                    b.writtenOff(),
                    b.available());
        }
        return table.text();
    }
}
