package org.hornbeampass.cli.command;

import org.hornbeampass.protocol.admin.AdminPaths;

import picocli.CommandLine.Parameters;

/**
 * The argument that names a template.
 *
 * <p>Filled by the parser, then read; for use by one thread.
 */
final class TemplateArgument {
    @Parameters(paramLabel = "NAME", description = "The template's name.")
    private String mName;

    /** Returns the path of the template. */
    String path(String... rest) {
        return Session.path(Session.path(AdminPaths.TEMPLATES, mName), rest);
    }
}
