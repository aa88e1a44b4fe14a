package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Stores accounts in memory for tests; for use by one thread. */
final class MemoryAccounts implements AccountPort {
    private final Map<String, BudgetView> mAccounts = new TreeMap<>();
    private final Set<String> mApplied = new HashSet<>();
    private boolean mOutage;

    /** Makes all further reads fail as if the platform were unavailable. */
    void outage() {
        mOutage = true;
    }

    @Override
    public void accounts(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetView>>> done) {
        if (mOutage) {
            done.accept(
                    nowMs,
                    Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "platform is down")));
            return;
        }
        done.accept(
                nowMs,
                Either.right(
                        mAccounts.values().stream()
                                .filter(a -> a.organisation().equals(organisation))
                                .toList()));
    }

    @Override
    public void topUp(
            long nowMs,
            BudgetKey key,
            String id,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetView>> done) {
        boolean first = mApplied.add(key + "/" + id);
        done.accept(nowMs, Either.right(put(key, account(key).paid() + (first ? tokens : 0))));
    }

    @Override
    public void setPaid(
            long nowMs,
            BudgetKey key,
            long paid,
            OptionalLong expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetView>> done) {
        long now = account(key).paid();
        done.accept(
                nowMs,
                expectedPaid.orElse(now) == now
                        ? Either.right(put(key, paid))
                        : Either.left(
                                Failure.of(ErrorKind.REVISION_CONFLICT, now + " tokens are paid")));
    }

    private BudgetView account(BudgetKey key) {
        return mAccounts.getOrDefault(
                key.toString(), BudgetView.empty(key.organisation(), key.budget()));
    }

    private BudgetView put(BudgetKey key, long paid) {
        BudgetView view =
                new BudgetView(
                        key.organisation(),
                        key.budget(),
                        paid,
                        0,
                        0,
                        0,
                        paid,
                        OptionalLong.empty());
        mAccounts.put(key.toString(), view);
        return view;
    }
}
