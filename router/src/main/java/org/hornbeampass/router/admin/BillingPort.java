package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the bills that the platform stores.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface BillingPort {
    /**
     * Reads a page of an organisation's newest bills that stand.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation whose bills
     * @param after where the page starts, from the page before
     * @param limit the largest number of bills on the page
     * @param done run once with the page
     */
    void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done);

    /** Sums what an organisation was billed, budget by budget. */
    void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done);

    /** Checks bills and accounts against the rules that must always hold. */
    void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done);
}
