package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.BillView;
import org.hornbeampass.protocol.admin.UsageLine;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Stores bills in memory for tests; for use by one thread. */
final class MemoryBilling implements BillingPort {
    private final List<BillView> mBills = new ArrayList<>();

    void add(BillView bill) {
        mBills.add(bill);
    }

    @Override
    public void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done) {
        List<BillView> own =
                mBills.stream()
                        .filter(b -> b.organisation().equals(organisation))
                        .filter(b -> b.request().value().compareTo(after.orElse("")) > 0)
                        .toList();
        List<BillView> page = own.stream().limit(limit).toList();
        Optional<String> next =
                page.size() == own.size()
                        ? Optional.empty()
                        : Optional.of(page.get(page.size() - 1).request().value());
        done.accept(nowMs, Either.right(Aged.fresh(new BillList(page, next))));
    }

    @Override
    public void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done) {
        List<UsageLine> lines =
                mBills.stream()
                        .filter(b -> b.organisation().equals(organisation))
                        .map(b -> new UsageLine(b.budget(), 1, b.tokens(), 0, 0, 0, 0))
                        .toList();
        done.accept(nowMs, Either.right(Aged.fresh(new UsageView(organisation, lines))));
    }

    @Override
    public void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done) {
        done.accept(
                nowMs,
                Either.right(Aged.fresh(new AuditView(1, 1, mBills.size(), 0, 0, List.of()))));
    }
}
