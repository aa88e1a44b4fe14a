package org.hornbeampass.cli.command;

import org.hornbeampass.protocol.admin.AdminPaths;

import picocli.CommandLine.Parameters;

/**
 * The argument that names an organisation.
 *
 * <p>Filled by the parser, then read; for use by one thread.
 */
final class OrganisationArgument {
    @Parameters(paramLabel = "ID", description = "The organisation.")
    private String mId;

    /** Returns the path of the organisation. */
    String path(String... rest) {
        return Session.path(Session.path(AdminPaths.ORGANISATIONS, mId), rest);
    }
}
