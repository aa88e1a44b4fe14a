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
 * What the operators' API needs of the budgets' accounts.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface AccountPort {
    /** Reads the accounts of an organisation that something was ever paid into. */
    void accounts(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetView>>> done);

    /** Adds tokens to what is paid, once for each id; done takes the account afterwards. */
    void topUp(
            long nowMs,
            BudgetKey key,
            String id,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetView>> done);

    /**
     * Sets what is paid; below what is spent or held it is lowered as VMs give back.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param paid what is to be paid
     * @param expectedPaid what must be paid now; empty for any
     * @param done takes the account afterwards, or {@code REVISION_CONFLICT}
     */
    void setPaid(
            long nowMs,
            BudgetKey key,
            long paid,
            OptionalLong expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetView>> done);
}
