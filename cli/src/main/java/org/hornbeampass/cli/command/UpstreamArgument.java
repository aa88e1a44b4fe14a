package org.hornbeampass.cli.command;

import org.hornbeampass.protocol.admin.AdminPaths;

import picocli.CommandLine.Parameters;

/**
 * The argument that names an upstream.
 *
 * <p>Filled by the parser, then read; for use by one thread.
 */
final class UpstreamArgument {
    @Parameters(paramLabel = "ID", description = "The upstream.")
    private String mId;

    /** Returns the upstream's identity. */
    String id() {
        return mId;
    }

    /** Returns the path of the upstream. */
    String path(String... rest) {
        return Session.path(Session.path(AdminPaths.UPSTREAMS, mId), rest);
    }
}
