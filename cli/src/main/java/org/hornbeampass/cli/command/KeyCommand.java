package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Commands on callers' keys.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "key",
        description = "Keys with which an organisation's callers show who they are.",
        subcommands = {KeyCommand.Add.class, KeyCommand.Revoke.class},
        footer = {"%nExample:", "  hornbeamctl organisation key add flight booking-desk"})
public final class KeyCommand extends GroupCommand {
    /** Says that a key won't be shown again. */
    static void noteKey(Session session) {
        session.note("the key is shown this once; only its hash is kept");
    }

    /** Adds a key and prints it. */
    @Command(
            name = "add",
            description = "Adds a key and prints it, this once.",
            footer = {"%nExample:", "  hornbeamctl organisation key add flight booking-desk"})
    static final class Add extends AdminCommand {
        @Mixin private KeyArguments mKey;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.post(mKey.path()), KeyCreated.class, Fields::table)
                    .peek(code -> noteKey(session));
        }
    }

    /** Revokes a key. */
    @Command(
            name = "revoke",
            description = "Revokes a key; it is refused once the revision is in force.",
            footer = {"%nExample:", "  hornbeamctl organisation key revoke flight booking-desk"})
    static final class Revoke extends AdminCommand {
        @Mixin private KeyArguments mKey;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.delete(mKey.path(), 0), Changed.class, Fields::table);
        }
    }
}
