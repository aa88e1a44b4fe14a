package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.budget.HolderRecord;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Plans one conditional update that contains the changes of all budgets of one organisation.
 *
 * <p>Invariants: a grant never exceeds the tokens available in the record that the update expects.
 * Tokens to return are subtracted from the holding during planning, and so before the write. Each
 * instance is used once, under the organisation's lock.
 */
final class LedgerWritePlan {
    private final GrantCalculator mCalculator;
    private final boolean mReportDue;
    private final boolean mClosing;
    private final List<Holding> mWrittenHoldings = new ArrayList<>();
    private LedgerRecord mPlannedRecord;
    private boolean mWriteNeeded;

    /**
     * Creates a plan.
     *
     * @param base the record that the update expects to replace
     * @param calculator calculates how many tokens each budget draws and returns
     * @param reportDue whether spending is to be reported now
     * @param closing whether this VM shuts down and returns all tokens
     */
    LedgerWritePlan(
            LedgerRecord base, GrantCalculator calculator, boolean reportDue, boolean closing) {
        mPlannedRecord = base;
        mCalculator = calculator;
        mReportDue = reportDue;
        mClosing = closing;
    }

    /**
     * Closes the entries of holders that are proved gone. Tokens that they did not report count as
     * spent.
     */
    void closeGoneHolders(Predicate<HolderId> isGone) {
        for (var entry : Map.copyOf(mPlannedRecord.budgets()).entrySet()) {
            BudgetRecord budget = entry.getValue();
            Map<HolderId, HolderRecord> open = new TreeMap<>(budget.holders());
            HolderRecord closed = budget.closed();
            for (var holder : budget.holders().entrySet()) {
                if (isGone.test(holder.getKey())) {
                    open.remove(holder.getKey());
                    closed = closed.plusClosed(holder.getValue());
                }
            }
            if (open.size() < budget.holders().size()) {
                mPlannedRecord =
                        mPlannedRecord.with(entry.getKey(), budget.withHolders(open, closed));
                mWriteNeeded = true;
            }
        }
    }

    /** Adds the draw, return and report of one budget. */
    void addAccount(long nowMs, BudgetAccount account) {
        Holding holding = account.holding();
        BudgetRecord budget = mPlannedRecord.budget(account.key().budget());
        Optional<HolderRecord> recorded =
                Optional.ofNullable(budget.holders().get(holding.holder()));
        long draw = mClosing ? 0 : mCalculator.tokensToDraw(nowMs, account, budget);
        if (draw <= 0 && recorded.isPresent()) {
            giveBack(nowMs, account, budget);
        }
        HolderRecord current = recorded.orElse(HolderRecord.NONE);
        boolean refunded = holding.unreportedSpent(current) < 0;
        boolean report = mReportDue || mClosing || refunded || holding.hasUnreportedReturns();
        if (draw <= 0
                && !(report && holding.hasUnreportedChanges(current))
                && !(mClosing && recorded.isPresent())) {
            return;
        }
        mPlannedRecord =
                mPlannedRecord.with(
                        account.key().budget(), planEntry(budget, holding, recorded, draw));
        mWrittenHoldings.add(holding);
        mWriteNeeded = true;
    }

    private void giveBack(long nowMs, BudgetAccount account, BudgetRecord budget) {
        Holding holding = account.holding();
        if (mClosing || budget.target().isPresent()) {
            holding.giveBack(holding.free() - account.waitingTokens());
            return;
        }
        if (mReportDue || mCalculator.returnsImmediately()) {
            holding.giveBack(mCalculator.tokensToReturn(nowMs, account, budget));
        }
    }

    private BudgetRecord planEntry(
            BudgetRecord budget, Holding holding, Optional<HolderRecord> recorded, long draw) {
        Map<HolderId, HolderRecord> open = new TreeMap<>(budget.holders());
        HolderRecord closed = budget.closed();
        if (recorded.isPresent()) {
            for (var adopted : holding.transferCharges(recorded.get()).entrySet()) {
                HolderRecord from = open.get(adopted.getKey());
                if (from == null) {
                    closed = closed.withMovedOut(adopted.getValue());
                } else {
                    open.put(adopted.getKey(), from.withMovedOut(adopted.getValue()));
                }
            }
        }
        HolderRecord entry = holding.nextEntry(recorded, draw);
        if (mClosing && recorded.isPresent() && holding.reserved() == 0) {
            open.remove(holding.holder());
            closed = closed.plusClosed(entry);
        } else {
            open.put(holding.holder(), entry);
        }
        return budget.withHolders(open, closed);
    }

    /** Returns the record to write; empty if no write is needed. */
    Optional<LedgerRecord> result() {
        return mWriteNeeded ? Optional.of(mPlannedRecord) : Optional.empty();
    }

    /** Returns the holdings whose entries the write contains. */
    List<Holding> writtenHoldings() {
        return mWrittenHoldings;
    }
}
