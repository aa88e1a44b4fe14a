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
        description = "Sums an organisation's bills by budget and by model or service.",
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
                new TextTable("BUDGET", "FOR", "REQUESTS", "PROMPT", "COMPLETION", "TOKENS");
        for (UsageLine line : usage.lines()) {
            table.row(
                    line.budget(),
                    line.target(),
                    line.requests(),
                    line.promptTokens(),
                    line.completionTokens(),
                    line.tokens());
        }
        return table.text();
    }
}
