package org.hornbeampass.cli.command;

import org.hornbeampass.protocol.admin.AdminPaths;

import picocli.CommandLine.Parameters;

/**
 * The arguments that name a key.
 *
 * <p>Filled by the parser, then read; for use by one thread.
 */
final class KeyArguments {
    @Parameters(index = "0", paramLabel = "ID", description = "The organisation.")
    private String mId;

    @Parameters(index = "1", paramLabel = "NAME", description = "The key's name.")
    private String mName;

    /** Returns the path of the key. */
    String path() {
        return Session.path(AdminPaths.ORGANISATIONS, mId, "keys", mName);
    }
}
