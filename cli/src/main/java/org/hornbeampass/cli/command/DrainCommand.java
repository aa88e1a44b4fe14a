package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Drains a router.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "drain",
        description = {
            "Orders a router to leave the address answers, finish its requests, hand over its",
            "budgets and bills, and stop. May be repeated."
        },
        footer = {"%nExample:", "  hornbeamctl drain vm-3"})
public final class DrainCommand extends AdminCommand {
    @Parameters(paramLabel = "VM", description = "The VM's name, as `routers` shows it.")
    private String mVm;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        String name = mVm.indexOf('~') < 0 ? mVm : mVm.substring(0, mVm.indexOf('~'));
        return session.show(
                AdminCall.repeatablePost(Session.path(AdminPaths.ROUTERS, name, "drain")),
                Drained.class,
                Fields::table);
    }
}
