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
 * Reads the bills that the platform stores for the operators' API.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface BillingPort {
    /**
     * Reads a page of an organisation's newest bills that are in effect.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation that was billed
     * @param after where the page starts, as returned with the previous page; empty for the first
     * @param limit the largest number of bills on the page
     * @param done called once with the page
     */
    void bills(
            long nowMs,
            OrganisationId organisation,
            Optional<String> after,
            int limit,
            BiConsumer<Long, Either<Failure, Aged<BillList>>> done);

    /** Sums the bills of an organisation for each budget. */
    void usage(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, Aged<UsageView>>> done);

    /** Checks bills and accounts against their invariants. */
    void audit(long nowMs, BiConsumer<Long, Either<Failure, Aged<AuditView>>> done);
}
