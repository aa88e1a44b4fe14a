package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.router.admin.Aged;
import org.hornbeampass.router.admin.BillingPort;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Answers that bills can't be read, until the request log has a reader for operators.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class NoBilling implements BillingPort {
    @Override
    public void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done) {
        done.accept(nowMs, Either.left(notBuilt()));
    }

    @Override
    public void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done) {
        done.accept(nowMs, Either.left(notBuilt()));
    }

    @Override
    public void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done) {
        done.accept(nowMs, Either.left(notBuilt()));
    }

    private static Failure notBuilt() {
        return Failure.of(
                ErrorKind.NOT_FOUND, "reading bills is not built yet; read the budget's account");
    }
}
