package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;

/**
 * Lists the routers.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "routers",
        description = "Lists the routers as the answering router sees them.",
        footer = {"%nExample:", "  hornbeamctl routers"})
public final class RoutersCommand extends AdminCommand {
    @Override
    protected Either<Failure, Integer> run(Session session) {
        return session.show(
                AdminCall.get(AdminPaths.ROUTERS), RouterList.class, RoutersCommand::table);
    }

    private static String table(RouterList list) {
        TextTable table = new TextTable("VM", "STATE", "ADDRESS", "DOMAIN", "REGION", "REVISION");
        for (RouterView r : list.items()) {
            table.row(r.vm(), r.state(), r.address(), r.domain(), r.region(), r.revision());
        }
        return table.text();
    }
}
