package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.TemplateList;
import org.hornbeampass.protocol.admin.TemplateView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.Parameters;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.util.List;

/**
 * Commands on templates.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "template",
        description = "Templates: terms shared by organisations.",
        subcommands = {
            TemplateCommand.Create.class,
            TemplateCommand.Show.class,
            TemplateCommand.Listing.class,
            TemplateCommand.Change.class,
            TemplateCommand.Delete.class
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl template create desk --models flight-desk --priority 7",
            "  hornbeamctl template set desk --max-concurrent 200"
        })
public final class TemplateCommand extends GroupCommand {
    private static ObjectEditor<TemplateView, Parameters> editor(TemplateArgument template) {
        return new ObjectEditor<>(
                template.path(),
                TemplateView.class,
                TemplateView::revision,
                TemplateView::parameters);
    }

    /** Creates a template. */
    @Command(
            name = "create",
            description = "Creates a template.",
            footer = {
                "%nExample:",
                "  hornbeamctl template create desk --models flight-desk --priority 7"
            })
    static final class Create extends AdminCommand {
        @Mixin private TemplateArgument mTemplate;

        @Mixin private ParameterOptions mOptions;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mTemplate).create(session, mOptions.set());
        }
    }

    /** Shows a template. */
    @Command(
            name = "show",
            description = "Shows a template with its revision.",
            footer = {"%nExample:", "  hornbeamctl template show desk --output json"})
    static final class Show extends AdminCommand {
        @Mixin private TemplateArgument mTemplate;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(AdminCall.get(mTemplate.path()), TemplateView.class, Fields::table);
        }
    }

    /** Lists templates. */
    @Command(
            name = "list",
            description = "Lists templates in the order of their names.",
            footer = {"%nExample:", "  hornbeamctl template list"})
    static final class Listing extends AdminCommand {
        @Mixin private PageOptions mPages;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return mPages.read(
                            session,
                            AdminPaths.TEMPLATES,
                            TemplateList.class,
                            TemplateList::items,
                            TemplateList::next)
                    .map(all -> new TemplateList(all.items(), all.next()))
                    .map(list -> session.print(list, Listing::table));
        }

        private static String table(TemplateList list) {
            TextTable table = new TextTable("NAME", "REVISION", "SETS");
            list.items()
                    .forEach(t -> table.row(t.name(), t.revision(), Fields.brief(t.parameters())));
            return table.text();
        }
    }

    /** Changes a template. */
    @Command(
            name = "set",
            description = "Sets or unsets terms of a template; the others stay as they are.",
            footer = {
                "%nExamples:",
                "  hornbeamctl template set desk --max-concurrent 200",
                "  hornbeamctl template set desk --unset priority,adapters"
            })
    static final class Change extends AdminCommand {
        @Mixin private TemplateArgument mTemplate;

        @Mixin private ParameterOptions mOptions;
        @Mixin private RevisionOption mRevision;

        @Option(
                names = "--unset",
                split = ",",
                paramLabel = "PARAMETER",
                description = "Parameters that fall back to the defaults.")
        private List<ParameterName> mUnset = List.of();

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mTemplate)
                    .set(session, mRevision.value(), base -> mOptions.changed(base, mUnset));
        }
    }

    /** Deletes a template. */
    @Command(
            name = "delete",
            description = "Deletes a template that no organisation uses.",
            footer = {"%nExample:", "  hornbeamctl template delete desk"})
    static final class Delete extends AdminCommand {
        @Mixin private TemplateArgument mTemplate;

        @Mixin private RevisionOption mRevision;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mTemplate).delete(session, mRevision.value());
        }
    }
}
