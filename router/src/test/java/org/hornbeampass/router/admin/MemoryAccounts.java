package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.BudgetChange;
import org.hornbeampass.protocol.admin.BudgetChanged;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Accounts held in memory by a test; for use by one thread. */
final class MemoryAccounts implements AccountPort {
    private final Map<BudgetKey, Long> mPaid = new HashMap<>();
    private final Set<String> mApplied = new HashSet<>();
    private final long mAgeMs;

    MemoryAccounts(long ageMs) {
        mAgeMs = ageMs;
    }

    @Override
    public void account(
            long nowMs, BudgetKey key, BiConsumer<Long, Either<Failure, Aged<BudgetView>>> done) {
        done.accept(nowMs, Either.right(new Aged<>(view(key), mAgeMs)));
    }

    @Override
    public void topUp(
            long nowMs,
            BudgetKey key,
            BudgetChange change,
            BiConsumer<Long, Either<Failure, BudgetChanged>> done) {
        add(nowMs, key, change, change.tokens(), done);
    }

    @Override
    public void lower(
            long nowMs,
            BudgetKey key,
            BudgetChange change,
            BiConsumer<Long, Either<Failure, BudgetChanged>> done) {
        add(nowMs, key, change, -Math.min(change.tokens(), view(key).available()), done);
    }

    private void add(
            long nowMs,
            BudgetKey key,
            BudgetChange change,
            long signed,
            BiConsumer<Long, Either<Failure, BudgetChanged>> done) {
        boolean repeated = !mApplied.add(key + "/" + change.id());
        if (!repeated) {
            mPaid.merge(key, signed, Long::sum);
        }
        done.accept(
                nowMs,
                Either.right(
                        new BudgetChanged(change.id(), Math.abs(signed), repeated, view(key))));
    }

    private BudgetView view(BudgetKey key) {
        long paid = mPaid.getOrDefault(key, 0L);
        return new BudgetView(key.organisation(), key.budget(), paid, 0, 0, 0, paid);
    }
}
