package org.hornbeampass.cli.command;

import picocli.CommandLine.Option;

/**
 * The option that makes a change conditional on a revision.
 *
 * <p>For use by one thread.
 */
final class RevisionOption {
    @Option(
            names = "--if-revision",
            paramLabel = "N",
            defaultValue = "0",
            description = "Only if the object is at this revision; `show` prints it.")
    private long mRevision;

    /** Returns the revision; 0 where the change is not conditional. */
    long value() {
        return mRevision;
    }
}
