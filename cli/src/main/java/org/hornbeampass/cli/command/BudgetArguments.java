package org.hornbeampass.cli.command;

import org.hornbeampass.protocol.admin.AdminPaths;

import picocli.CommandLine.Parameters;

/**
 * The arguments that name a budget.
 *
 * <p>Filled by the parser, then read; for use by one thread.
 */
final class BudgetArguments {
    @Parameters(index = "0", paramLabel = "ORGANISATION", description = "The organisation.")
    private String mOrganisation;

    @Parameters(index = "1", paramLabel = "NAME", description = "The budget's name.")
    private String mName;

    /** Returns the path of the budget, or of a part of it. */
    String path(String... rest) {
        return Session.path(
                Session.path(AdminPaths.ORGANISATIONS, mOrganisation, "budgets", mName), rest);
    }
}
