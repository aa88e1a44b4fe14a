package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Reads the accounts of all budgets of an organisation, one after the other.
 *
 * <p>Thread-safe: holds no state of its own. The number of budgets is bounded.
 */
final class AccountReader {
    private final ConfigurationPort mConfiguration;
    private final AccountPort mAccounts;

    AccountReader(ConfigurationPort configuration, AccountPort accounts) {
        mConfiguration = configuration;
        mAccounts = accounts;
    }

    /** Returns an organisation, or {@code NOT_FOUND}. */
    Either<Failure, OrganisationSpec> organisation(OrganisationId id) {
        OrganisationSpec spec = mConfiguration.snapshot().organisations().get(id);
        return spec == null
                ? Either.left(ConfigChanges.unknown(ConfigObject.organisation(id.value())))
                : Either.right(spec);
    }

    /** Reads all accounts of an organisation; the age is that of the oldest. */
    void all(
            long nowMs,
            OrganisationId id,
            BiConsumer<Long, Either<Failure, Aged<List<BudgetView>>>> done) {
        Either<Failure, OrganisationSpec> spec = organisation(id);
        if (spec.isLeft()) {
            done.accept(nowMs, Either.left(spec.getLeft()));
            return;
        }
        List<BudgetId> budgets = spec.get().budgets().stream().sorted().toList();
        next(nowMs, id, budgets, new Aged<>(new ArrayList<>(), 0), done);
    }

    private void next(
            long nowMs,
            OrganisationId id,
            List<BudgetId> left,
            Aged<List<BudgetView>> read,
            BiConsumer<Long, Either<Failure, Aged<List<BudgetView>>>> done) {
        if (left.isEmpty()) {
            done.accept(nowMs, Either.right(read));
            return;
        }
        mAccounts.account(
                nowMs,
                new BudgetKey(id, left.get(0)),
                (atMs, result) -> {
                    if (result.isLeft()) {
                        done.accept(atMs, Either.left(result.getLeft()));
                        return;
                    }
                    read.value().add(result.get().value());
                    long age = Math.max(read.ageMs(), result.get().ageMs());
                    next(
                            atMs,
                            id,
                            left.subList(1, left.size()),
                            new Aged<>(read.value(), age),
                            done);
                });
    }
}
