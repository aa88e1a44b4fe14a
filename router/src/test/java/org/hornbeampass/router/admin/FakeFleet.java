package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.BiConsumer;

/** A fleet with a single router, for tests; for use by one thread. */
final class FakeFleet implements FleetPort {
    private static final VmId VM = new VmId("vm-1", 7);

    @Override
    public RouterList routers(long nowMs) {
        return new RouterList(
                VM,
                List.of(
                        new RouterView(
                                VM,
                                "ALIVE",
                                "127.0.0.1:8080",
                                new FailureDomain("a"),
                                new Region("r"),
                                3)));
    }

    @Override
    public RevisionView revision(long nowMs) {
        return new RevisionView(VM, 3, 3, List.of(new RevisionView.RouterRevision(VM, 3)));
    }

    @Override
    public void drainRouter(
            long nowMs,
            String vmName,
            String operator,
            BiConsumer<Long, Either<Failure, Drained>> done) {
        done.accept(
                nowMs,
                vmName.equals(VM.name())
                        ? Either.right(new Drained(vmName, "draining", 2))
                        : Either.left(Failure.of(ErrorKind.NOT_FOUND, "no router " + vmName)));
    }
}
