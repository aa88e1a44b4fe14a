package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetChange;
import org.hornbeampass.protocol.admin.BudgetChanged;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the budgets' accounts.
 *
 * <p>Changes are applied once for each id. Implementations are thread-safe and never block.
 */
public interface AccountPort {
    /** Reads a budget's account; a budget without a ledger entry has an account of zeros. */
    void account(
            long nowMs, BudgetKey key, BiConsumer<Long, Either<Failure, Aged<BudgetView>>> done);

    /** Adds to what is paid. */
    void topUp(
            long nowMs,
            BudgetKey key,
            BudgetChange change,
            BiConsumer<Long, Either<Failure, BudgetChanged>> done);

    /** Takes from what is paid, no further than what is spent or held. */
    void lower(
            long nowMs,
            BudgetKey key,
            BudgetChange change,
            BiConsumer<Long, Either<Failure, BudgetChanged>> done);
}
