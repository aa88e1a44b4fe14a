package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.protocol.admin.OrganisationBody;
import org.hornbeampass.protocol.admin.OrganisationList;
import org.hornbeampass.protocol.admin.OrganisationView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.Parameters;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Commands on organisations.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "organisation",
        description = "Organisations: customers with their own terms, budgets and keys.",
        subcommands = {
            OrganisationCommand.Create.class,
            OrganisationCommand.Show.class,
            OrganisationCommand.Listing.class,
            OrganisationCommand.Change.class,
            OrganisationCommand.Delete.class,
            KeyCommand.class
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl organisation create flight --template desk --budget main",
            "  hornbeamctl organisation key add flight booking-desk"
        })
public final class OrganisationCommand extends GroupCommand {
    private static final String FIRST_BUDGET = "main";

    private static ObjectEditor<OrganisationView, OrganisationBody> editor(
            OrganisationArgument organisation) {
        return new ObjectEditor<>(
                organisation.path(),
                OrganisationView.class,
                OrganisationView::revision,
                OrganisationCommand::body);
    }

    private static OrganisationBody body(OrganisationView view) {
        return new OrganisationBody(
                view.template(), Optional.of(view.overrides()), Set.copyOf(view.budgets()));
    }

    private static Set<BudgetId> ids(Set<String> names) {
        return names.stream().map(BudgetId::new).collect(Collectors.toSet());
    }

    /** Creates an organisation and prints its first key. */
    @Command(
            name = "create",
            description =
                    "Creates an organisation from a template and prints its first key, this once.",
            footer = {
                "%nExample:",
                "  hornbeamctl organisation create flight --template desk --budget main,spare"
            })
    static final class Create extends AdminCommand {
        @Mixin private OrganisationArgument mOrganisation;

        @Option(
                names = "--template",
                required = true,
                paramLabel = "NAME",
                description = "The template that it is created from.")
        private String mTemplate;

        @Option(
                names = "--budget",
                split = ",",
                defaultValue = FIRST_BUDGET,
                paramLabel = "NAME",
                description = "Its budgets. Default: ${DEFAULT-VALUE}.")
        private Set<String> mBudgets;

        @Mixin private ParameterOptions mOptions;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            OrganisationBody body =
                    new OrganisationBody(mTemplate, Optional.of(mOptions.set()), ids(mBudgets));
            return session.show(
                            AdminCall.post(mOrganisation.path(), body),
                            KeyCreated.class,
                            Fields::table)
                    .peek(code -> KeyCommand.noteKey(session));
        }
    }

    /** Shows an organisation. */
    @Command(
            name = "show",
            description = "Shows an organisation, its own values and its terms in force.",
            footer = {"%nExample:", "  hornbeamctl organisation show flight"})
    static final class Show extends AdminCommand {
        @Mixin private OrganisationArgument mOrganisation;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return session.show(
                    AdminCall.get(mOrganisation.path()), OrganisationView.class, Fields::table);
        }
    }

    /** Lists organisations. */
    @Command(
            name = "list",
            description = "Lists organisations in the order of their names.",
            footer = {"%nExample:", "  hornbeamctl organisation list --limit 20"})
    static final class Listing extends AdminCommand {
        @Mixin private PageOptions mPages;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return mPages.read(
                            session,
                            AdminPaths.ORGANISATIONS,
                            OrganisationList.class,
                            OrganisationList::items,
                            OrganisationList::next)
                    .map(all -> new OrganisationList(all.items(), all.next()))
                    .map(list -> session.print(list, Listing::table));
        }

        private static String table(OrganisationList list) {
            TextTable table =
                    new TextTable("ID", "REVISION", "TEMPLATE", "BUDGETS", "KEYS", "OVERRIDES");
            for (OrganisationView o : list.items()) {
                table.row(
                        o.id(),
                        o.revision(),
                        o.template(),
                        String.join(",", o.budgets().stream().map(BudgetId::value).toList()),
                        String.join(",", o.keys()),
                        Fields.brief(o.overrides()));
            }
            return table.text();
        }
    }

    /** Changes an organisation. */
    @Command(
            name = "set",
            description = "Sets an organisation's own values; the others stay as they are.",
            footer = {
                "%nExamples:",
                "  hornbeamctl organisation set flight --priority 8",
                "  hornbeamctl organisation set flight --unset priority --if-revision 12"
            })
    static final class Change extends AdminCommand {
        @Mixin private OrganisationArgument mOrganisation;

        @Option(names = "--template", paramLabel = "NAME", description = "Another template.")
        private String mTemplate;

        @Mixin private ParameterOptions mOptions;
        @Mixin private RevisionOption mRevision;

        @Option(
                names = "--unset",
                split = ",",
                paramLabel = "PARAMETER",
                description = "Own values that fall back to the template's.")
        private List<ParameterName> mUnset = List.of();

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mOrganisation).set(session, mRevision.value(), this::changed);
        }

        private OrganisationBody changed(OrganisationBody base) {
            Parameters own = base.overrides().orElse(Parameters.none());
            return new OrganisationBody(
                    mTemplate == null ? base.template() : mTemplate,
                    Optional.of(mOptions.changed(own, mUnset)),
                    base.budgets());
        }
    }

    /** Deletes an organisation. */
    @Command(
            name = "delete",
            description = "Deletes an organisation; its ledger and bills stay on the platform.",
            footer = {"%nExample:", "  hornbeamctl organisation delete flight --if-revision 12"})
    static final class Delete extends AdminCommand {
        @Mixin private OrganisationArgument mOrganisation;

        @Mixin private RevisionOption mRevision;

        @Override
        protected Either<Failure, Integer> run(Session session) {
            return editor(mOrganisation).delete(session, mRevision.value());
        }
    }
}
