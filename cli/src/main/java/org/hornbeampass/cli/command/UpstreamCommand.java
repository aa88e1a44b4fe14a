package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.protocol.admin.UpstreamList;
import org.hornbeampass.protocol.admin.UpstreamView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.config.UpstreamSpec;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

import java.util.Optional;

/**
 * Commands on upstreams.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "upstream",
        description = "Upstreams: runners of models and instances of plain services.",
        subcommands = {
            UpstreamCommand.Create.class,
            UpstreamCommand.Show.class,
            UpstreamCommand.Listing.class,
            UpstreamCommand.Change.class,
            UpstreamCommand.Delete.class,
            UpstreamCommand.Drain.class
        },
        footer = {
            "%nExample:",
            "  hornbeamctl upstream create runner-1 --uri http://127.0.0.1:9001"
                    + " --model flight-desk --domain catania --region sicily"
        })
public final class UpstreamCommand extends GroupCommand {
    private static ObjectEditor<UpstreamView, UpstreamSpec> editor(UpstreamArgument upstream) {
        return new ObjectEditor<>(
                upstream.path(), UpstreamView.class, UpstreamView::revision, UpstreamView::spec);
    }

    /** Creates an upstream. */
    @Command(
            name = "create",
            description = "Adds an upstream.",
            footer = {
                "%nExample:",
                "  hornbeamctl upstream create runner-1 --uri http://127.0.0.1:9001"
                        + " --model flight-desk --domain catania --region sicily"
            })
    static final class Create extends AdminCommand {
        @Mixin private UpstreamArgument mUpstream;

        @Mixin private UpstreamOptions mOptions;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            Optional<String> missing = mOptions.missing();
            return missing.isPresent()
                    ? Either.left(Failure.of(ErrorKind.FIELD_INVALID, missing.get()))
                    : editor(mUpstream).create(session, mOptions.made(mUpstream.id()));
        }
    }

    /** Shows an upstream. */
    @Command(
            name = "show",
            description = "Shows an upstream with its revision.",
            footer = {"%nExample:", "  hornbeamctl upstream show runner-1"})
    static final class Show extends AdminCommand {
        @Mixin private UpstreamArgument mUpstream;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.get(mUpstream.path()), UpstreamView.class, Fields::table);
        }
    }

    /** Lists upstreams. */
    @Command(
            name = "list",
            description = "Lists upstreams in the order of their names.",
            footer = {"%nExample:", "  hornbeamctl upstream list"})
    static final class Listing extends AdminCommand {
        @Mixin private PageOptions mPages;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return mPages.read(
                            session,
                            AdminPaths.UPSTREAMS,
                            UpstreamList.class,
                            UpstreamList::items,
                            UpstreamList::next)
                    .map(all -> new UpstreamList(all.items(), all.next()))
                    .map(list -> session.print(list, Listing::table));
        }

        private static String table(UpstreamList list) {
            TextTable table =
                    new TextTable(
                            "ID",
                            "REVISION",
                            "URI",
                            "SERVES",
                            "DOMAIN",
                            "REGION",
                            "MAX",
                            "FENCING",
                            "STATE");
            for (UpstreamView view : list.items()) {
                UpstreamSpec u = view.spec();
                table.row(
                        u.id(),
                        view.revision(),
                        u.baseUri(),
                        u.model().map(ModelId::value).or(u::service).orElse("-"),
                        u.domain(),
                        u.region(),
                        u.maxConcurrent(),
                        u.checksFencing() ? "checked" : "ignored",
                        u.draining() ? "draining" : "in use");
            }
            return table.text();
        }
    }

    /** Changes an upstream. */
    @Command(
            name = "set",
            description = "Sets parts of an upstream; the others stay as they are.",
            footer = {"%nExample:", "  hornbeamctl upstream set runner-1 --max-concurrent 64"})
    static final class Change extends AdminCommand {
        @Mixin private UpstreamArgument mUpstream;

        @Mixin private UpstreamOptions mOptions;
        @Mixin private RevisionOption mRevision;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mUpstream).set(session, mRevision.value(), mOptions::changed);
        }
    }

    /** Deletes an upstream. */
    @Command(
            name = "delete",
            description = "Removes an upstream; requests in progress there are finished.",
            footer = {"%nExample:", "  hornbeamctl upstream delete runner-1"})
    static final class Delete extends AdminCommand {
        @Mixin private UpstreamArgument mUpstream;

        @Mixin private RevisionOption mRevision;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mUpstream).delete(session, mRevision.value());
        }
    }

    /** Drains an upstream. */
    @Command(
            name = "drain",
            description = {
                "Stops new work to an upstream that is leaving; may be repeated.",
                "Take it back with `upstream set ID --draining false`."
            },
            footer = {
                "%nExample:",
                "  hornbeamctl upstream drain runner-1",
                "  hornbeamctl revision --wait"
            })
    static final class Drain extends AdminCommand {
        @Mixin private UpstreamArgument mUpstream;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(
                    AdminCall.repeatablePost(mUpstream.path("drain")),
                    Changed.class,
                    Fields::table);
        }
    }
}
