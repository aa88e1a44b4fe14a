package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.BudgetStatement;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Reads and changes the budgets' accounts in the platform's ledgers.
 *
 * <p>As thread-safe as {@link BudgetAdmin}.
 */
public final class LedgerAccounts implements AccountPort {
    private final BudgetAdmin mAccounts;

    /** Creates the port on the operators' interface to the ledgers. */
    public LedgerAccounts(BudgetAdmin accounts) {
        mAccounts = accounts;
    }

    @Override
    public void accounts(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetView>>> done) {
        mAccounts.statement(
                nowMs,
                organisation,
                (atMs, result) ->
                        done.accept(
                                atMs,
                                result.map(
                                        all -> all.stream().map(LedgerAccounts::view).toList())));
    }

    @Override
    public void topUp(
            long nowMs,
            BudgetKey key,
            String id,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetView>> done) {
        mAccounts.topUp(nowMs, key, id, tokens, toViewCallback(done));
    }

    @Override
    public void setPaid(
            long nowMs,
            BudgetKey key,
            long paid,
            OptionalLong expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetView>> done) {
        if (expectedPaid.isPresent()) {
            mAccounts.setPaid(nowMs, key, paid, expectedPaid.getAsLong(), toViewCallback(done));
            return;
        }
        mAccounts.setPaid(nowMs, key, paid, toViewCallback(done));
    }

    private static BiConsumer<Long, Either<Failure, BudgetStatement>> toViewCallback(
            BiConsumer<Long, Either<Failure, BudgetView>> done) {
        return (atMs, result) -> done.accept(atMs, result.map(LedgerAccounts::view));
    }

    /** Converts a statement to the view that operators receive. */
    static BudgetView view(BudgetStatement s) {
        return new BudgetView(
                s.key().organisation(),
                s.key().budget(),
                s.paid(),
                s.settled(),
                s.reserved() + s.free() + s.lent(),
                s.writtenOff(),
                s.available(),
                s.target());
    }
}
