package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.BillView;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

import java.time.Instant;

/**
 * Lists an organisation's bills.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "bills",
        description = {
            "Lists an organisation's newest bills as the platform stores them: those since the"
                    + " last",
            "checkpoint of each shard of the request log. `usage` sums all since the beginning."
        },
        footer = {"%nExample:", "  hornbeamctl bills flight --limit 50"})
public final class BillsCommand extends AdminCommand {
    @Parameters(paramLabel = "ORGANISATION", description = "The organisation.")
    private String mOrganisation;

    @Mixin private PageOptions mPages;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        return mPages.read(
                        session,
                        Session.path(AdminPaths.ORGANISATIONS, mOrganisation, "bills"),
                        BillList.class,
                        BillList::items,
                        BillList::next)
                .map(all -> new BillList(all.items(), all.next()))
                .map(list -> session.print(list, BillsCommand::table));
    }

    private static String table(BillList list) {
        TextTable table =
                new TextTable("REQUEST", "BUDGET", "ATTEMPT", "PROMPT", "COMPLETION", "ADMITTED");
        for (BillView bill : list.items()) {
            table.row(
                    bill.request(),
                    bill.budget(),
                    bill.attempt(),
                    bill.promptTokens(),
                    bill.completionTokens(),
                    Instant.ofEpochMilli(bill.admittedAtMs()));
        }
        return table.text();
    }
}
