package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.UsageLine;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Shows what an organisation used.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "usage",
        description = {
            "Sums what an organisation was billed, budget by budget, since the beginning.",
            "Not charged are further attempts of requests that had been billed; late are bills"
                    + " that",
            "came too late to be told from repeated ones, and were not charged either."
        },
        footer = {"%nExample:", "  hornbeamctl usage flight"})
public final class UsageCommand extends AdminCommand {
    @Parameters(paramLabel = "ORGANISATION", description = "The organisation.")
    private String mOrganisation;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        return session.show(
                AdminCall.get(Session.path(AdminPaths.ORGANISATIONS, mOrganisation, "usage")),
                UsageView.class,
                UsageCommand::table);
    }

    private static String table(UsageView usage) {
        TextTable table =
                new TextTable(
                        "BUDGET",
                        "BILLS",
                        "TOKENS",
                        "NOT CHARGED",
                        "ITS TOKENS",
                        "LATE",
                        "ITS TOKENS");
        for (UsageLine line : usage.lines()) {
            table.row(
                    line.budget(),
                    line.bills(),
                    line.tokens(),
                    line.duplicates(),
                    line.duplicateTokens(),
                    line.late(),
                    line.lateTokens());
        }
        return table.text();
    }
}
