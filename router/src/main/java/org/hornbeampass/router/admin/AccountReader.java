package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Reads the accounts of all budgets of an organisation. While the platform is unavailable, returns
 * the accounts that were last read, with their age.
 *
 * <p>Thread-safe; callbacks run with no lock held. The number of stored results is bounded by
 * {@link LastReadCache}.
 */
final class AccountReader {
    private final ConfigurationPort mConfiguration;
    private final AccountPort mAccounts;
    private final LastReadCache<OrganisationId, List<BudgetView>> mLastReads =
            new LastReadCache<>();

    AccountReader(ConfigurationPort configuration, AccountPort accounts) {
        mConfiguration = configuration;
        mAccounts = accounts;
    }

    /** Returns an organisation, or {@code NOT_FOUND}. */
    Either<Failure, OrganisationSpec> findOrganisation(OrganisationId id) {
        ConfigSnapshot snapshot = mConfiguration.snapshot();
        OrganisationSpec spec = snapshot.organisations().get(id);
        return spec == null
                ? Either.left(ConfigChanges.notFound(ObjectKey.organisation(id)))
                : Either.right(spec);
    }

    /** Reads the accounts of all budgets of an organisation, including budgets never paid into. */
    void readAll(
            long nowMs,
            OrganisationId id,
            BiConsumer<Long, Either<Failure, Aged<List<BudgetView>>>> done) {
        Either<Failure, OrganisationSpec> spec = findOrganisation(id);
        if (spec.isLeft()) {
            done.accept(nowMs, Either.left(spec.getLeft()));
            return;
        }
        mAccounts.accounts(
                nowMs,
                id,
                (atMs, result) -> done.accept(atMs, resultOrLastRead(atMs, spec.get(), result)));
    }

    private Either<Failure, Aged<List<BudgetView>>> resultOrLastRead(
            long nowMs, OrganisationSpec spec, Either<Failure, List<BudgetView>> result) {
        if (result.isRight()) {
            mLastReads.keep(nowMs, spec.id(), result.get());
            return Either.right(Aged.fresh(complete(spec, result.get())));
        }
        Optional<Aged<List<BudgetView>>> last =
                result.getLeft().kind() == ErrorKind.PLATFORM_UNAVAILABLE
                        ? mLastReads.find(nowMs, spec.id())
                        : Optional.empty();
        return last.<Either<Failure, Aged<List<BudgetView>>>>map(
                        l -> Either.right(new Aged<>(complete(spec, l.value()), l.ageMs())))
                .orElseGet(() -> Either.left(result.getLeft()));
    }

    private static List<BudgetView> complete(OrganisationSpec spec, List<BudgetView> read) {
        return spec.budgets().stream().sorted().map(b -> accountOf(spec.id(), b, read)).toList();
    }

    private static BudgetView accountOf(OrganisationId id, BudgetId budget, List<BudgetView> read) {
        return read.stream()
                .filter(b -> b.budget().equals(budget))
                .findFirst()
                .orElseGet(() -> BudgetView.empty(id, budget));
    }
}
