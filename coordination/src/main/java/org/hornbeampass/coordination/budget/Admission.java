package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.HolderRecord;
import org.hornbeampass.state.budget.Reservation;

import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides which requests are admitted, which wait on, and with what the others are refused.
 *
 * <p>Invariant: a request is admitted only out of what is held, and refused as exhausted only on a
 * fresh record that holds too little for it anywhere. Not thread-safe; guarded by its
 * organisation's lock.
 */
final class Admission {
    private final BudgetSettings mSettings;
    private final LedgerSync mSync;
    private final AtomicLong mReservationNumbers;

    Admission(BudgetSettings settings, LedgerSync sync, AtomicLong reservationNumbers) {
        mSettings = settings;
        mSync = sync;
        mReservationNumbers = reservationNumbers;
    }

    /** Reserves where enough is free. */
    Optional<Reservation> tryReserve(BudgetAccount account, RequestId request, long tokens) {
        if (account.holding().free() < tokens) {
            return Optional.empty();
        }
        return account.holding().reserve(request, tokens, mReservationNumbers.incrementAndGet());
    }

    /** Gives waiters what is free, in their order; a large one does not hold up smaller ones. */
    void admitWaiters(long nowMs, BudgetAccount account, DeferredActions actions) {
        if (account.waiters().isEmpty()) {
            return;
        }
        Iterator<Waiter> each = account.waiters().iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            Optional<Reservation> made = tryReserve(account, waiter.request(), waiter.tokens());
            if (made.isPresent()) {
                each.remove();
                actions.add(() -> waiter.done().accept(nowMs, Either.right(made.get())));
            }
        }
    }

    /** Refuses waiters whose time is over, or whom waiting can't help. */
    void refuseExpired(long nowMs, BudgetAccount account, DeferredActions actions) {
        Iterator<Waiter> each = account.waiters().iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            if (nowMs >= waiter.deadlineMs() || cannotBeAdmitted(nowMs, account, waiter)) {
                each.remove();
                refuse(nowMs, account, waiter, actions);
            }
        }
    }

    private boolean cannotBeAdmitted(long nowMs, BudgetAccount account, Waiter waiter) {
        if (knownExhausted(nowMs, account, waiter.tokens())) {
            return true;
        }
        if (mSync.inFlight() || account.askRound().running() || !account.askRound().failed()) {
            return false;
        }
        boolean platformLater = mSync.unreachable() && mSync.nextCallMs() > waiter.deadlineMs();
        boolean nothingThere =
                mSync.freshWithin(nowMs, mSettings.maxRecordAgeMs())
                        && mSync.record().get().budget(account.key().budget()).available() <= 0;
        return platformLater || nothingThere;
    }

    void refuse(long nowMs, BudgetAccount account, Waiter waiter, DeferredActions actions) {
        Failure failure = refusalFailure(nowMs, account, waiter.tokens());
        actions.add(() -> waiter.done().accept(nowMs, Either.left(failure)));
    }

    void refuseAll(long nowMs, BudgetAccount account, Failure failure, DeferredActions actions) {
        for (Waiter waiter : account.waiters()) {
            actions.add(() -> waiter.done().accept(nowMs, Either.left(failure)));
        }
        account.waiters().clear();
    }

    Failure refusalFailure(long nowMs, BudgetAccount account, long tokens) {
        if (knownExhausted(nowMs, account, tokens)) {
            return BudgetFailures.exhausted(account.key(), tokens);
        }
        long wait = Math.max(mSettings.maxRecordAgeMs(), mSync.nextCallMs() - nowMs);
        return BudgetFailures.unreachable(account.key(), wait);
    }

    boolean knownExhausted(long nowMs, BudgetAccount account, long tokens) {
        if (!mSync.freshWithin(nowMs, mSettings.maxRecordAgeMs())) {
            return false;
        }
        BudgetRecord record = mSync.record().get().budget(account.key().budget());
        HolderRecord own =
                record.holders().getOrDefault(account.holding().holder(), HolderRecord.NONE);
        return record.unspent() - account.holding().unreportedSpent(own) < tokens;
    }
}
