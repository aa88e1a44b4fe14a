package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Reads and changes the accounts of budgets for the operators' API.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface AccountPort {
    /** Reads those accounts of an organisation into which tokens were ever paid. */
    void accounts(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetView>>> done);

    /**
     * Adds tokens to the paid amount of a budget, once for each id.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param id the idempotency key of the top-up
     * @param tokens how many tokens to add
     * @param done receives the account after the change
     */
    void topUp(
            long nowMs,
            BudgetKey key,
            String id,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetView>> done);

    /**
     * Sets the paid amount of a budget. A target below what is spent or held is reached step by
     * step, as VMs give tokens back.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param paid the new paid amount in tokens
     * @param expectedPaid the paid amount that the account must have before the change; empty for
     *     any
     * @param done receives the account after the change, or {@code REVISION_CONFLICT}
     */
    void setPaid(
            long nowMs,
            BudgetKey key,
            long paid,
            OptionalLong expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetView>> done);
}
