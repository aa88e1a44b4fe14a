package org.hornbeampass.cli;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.router.admin.Aged;
import org.hornbeampass.router.admin.BillingPort;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** A platform without any bill; thread-safe. */
final class EmptyBilling implements BillingPort {
    @Override
    public void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done) {
        done.accept(nowMs, Either.right(Aged.fresh(new BillList(List.of(), Optional.empty()))));
    }

    @Override
    public void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done) {
        done.accept(nowMs, Either.right(Aged.fresh(new UsageView(organisation, List.of()))));
    }

    @Override
    public void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done) {
        done.accept(nowMs, Either.right(Aged.fresh(new AuditView(0, 0, 0, List.of()))));
    }
}
