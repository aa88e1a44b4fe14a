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
 * Decides which requests are admitted, which wait for tokens, and with which error the others are
 * refused.
 *
 * <p>Invariant: a request is admitted only with tokens that this VM holds. It is refused as
 * exhausted only if a sufficiently recent record shows that the whole budget has too few unspent
 * tokens. Not thread-safe; guarded by its organisation's lock.
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

    /** Reserves tokens, or returns empty if this VM holds too few free tokens. */
    Optional<Reservation> tryReserve(BudgetAccount account, RequestId request, long tokens) {
        if (account.holding().free() < tokens) {
            return Optional.empty();
        }
        return account.holding().reserve(request, tokens, mReservationNumbers.incrementAndGet());
    }

    /**
     * Admits waiting requests in their order as far as the free tokens suffice. A large request
     * does not block smaller ones behind it.
     */
    void admitWaiters(long nowMs, BudgetAccount account, DeferredActions actions) {
        if (account.waiters().isEmpty()) {
            return;
        }
        Iterator<Waiter> waiters = account.waiters().iterator();
        while (waiters.hasNext()) {
            Waiter waiter = waiters.next();
            Optional<Reservation> reserved = tryReserve(account, waiter.request(), waiter.tokens());
            if (reserved.isPresent()) {
                waiters.remove();
                actions.add(() -> waiter.done().accept(nowMs, Either.right(reserved.get())));
            }
        }
    }

    /**
     * Refuses waiting requests that are past their deadline or for which further waiting is
     * pointless.
     */
    void refuseExpired(long nowMs, BudgetAccount account, DeferredActions actions) {
        Iterator<Waiter> waiters = account.waiters().iterator();
        while (waiters.hasNext()) {
            Waiter waiter = waiters.next();
            if (nowMs >= waiter.deadlineMs() || cannotBeAdmitted(nowMs, account, waiter)) {
                waiters.remove();
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
        boolean platformCallTooLate =
                mSync.unreachable() && mSync.nextCallMs() > waiter.deadlineMs();
        boolean nothingAvailable =
                mSync.freshWithin(nowMs, mSettings.maxRecordAgeMs())
                        && mSync.lastRecord().get().budget(account.key().budget()).available() <= 0;
        return platformCallTooLate || nothingAvailable;
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
        BudgetRecord record = mSync.lastRecord().get().budget(account.key().budget());
        HolderRecord own =
                record.holders().getOrDefault(account.holding().holder(), HolderRecord.NONE);
        return record.unspent() - account.holding().unreportedSpent(own) < tokens;
    }
}
