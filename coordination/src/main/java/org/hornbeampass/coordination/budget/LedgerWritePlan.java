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
 * Plans one conditional write that carries the changes of all budgets of one organisation.
 *
 * <p>Invariants: a grant never exceeds what is available in the record that the write expects; what
 * is returned is subtracted from the holding while planning, so before the write. Used once, under
 * the organisation's lock.
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
     * @param base the record that the write expects
     * @param calculator decides how much each budget draws and gives back
     * @param reportDue whether spending is to be reported now
     * @param closing whether this VM shuts down and gives everything back
     */
    LedgerWritePlan(
            LedgerRecord base, GrantCalculator calculator, boolean reportDue, boolean closing) {
        mPlannedRecord = base;
        mCalculator = calculator;
        mReportDue = reportDue;
        mClosing = closing;
    }

    /** Closes the entries of holders that are proved gone: what they did not report is spent. */
    void closeGoneHolders(Predicate<HolderId> gone) {
        for (var each : Map.copyOf(mPlannedRecord.budgets()).entrySet()) {
            BudgetRecord budget = each.getValue();
            Map<HolderId, HolderRecord> open = new TreeMap<>(budget.holders());
            HolderRecord closed = budget.closed();
            for (var holder : budget.holders().entrySet()) {
                if (gone.test(holder.getKey())) {
                    open.remove(holder.getKey());
                    closed = closed.plusClosed(holder.getValue());
                }
            }
            if (open.size() < budget.holders().size()) {
                mPlannedRecord =
                        mPlannedRecord.with(each.getKey(), budget.withHolders(open, closed));
                mWriteNeeded = true;
            }
        }
    }

    /** Adds one budget's draw, return and report. */
    void addAccount(long nowMs, BudgetAccount account) {
        Holding holding = account.holding();
        BudgetRecord budget = mPlannedRecord.budget(account.key().budget());
        Optional<HolderRecord> seen = Optional.ofNullable(budget.holders().get(holding.holder()));
        long draw = mClosing ? 0 : mCalculator.tokensToDraw(nowMs, account, budget);
        if (draw <= 0 && seen.isPresent()) {
            giveBack(nowMs, account, budget);
        }
        HolderRecord known = seen.orElse(HolderRecord.NONE);
        boolean refunded = holding.unreportedSpent(known) < 0;
        boolean report = mReportDue || mClosing || refunded || holding.hasUnreportedReturns();
        if (draw <= 0
                && !(report && holding.hasUnreportedChanges(known))
                && !(mClosing && seen.isPresent())) {
            return;
        }
        mPlannedRecord =
                mPlannedRecord.with(account.key().budget(), planEntry(budget, holding, seen, draw));
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
            BudgetRecord budget, Holding holding, Optional<HolderRecord> seen, long draw) {
        Map<HolderId, HolderRecord> open = new TreeMap<>(budget.holders());
        HolderRecord closed = budget.closed();
        if (seen.isPresent()) {
            for (var adopted : holding.transferCharges(seen.get()).entrySet()) {
                HolderRecord from = open.get(adopted.getKey());
                if (from == null) {
                    closed = closed.withMovedOut(adopted.getValue());
                } else {
                    open.put(adopted.getKey(), from.withMovedOut(adopted.getValue()));
                }
            }
        }
        HolderRecord entry = holding.nextEntry(seen, draw);
        if (mClosing && seen.isPresent() && holding.reserved() == 0) {
            open.remove(holding.holder());
            closed = closed.plusClosed(entry);
        } else {
            open.put(holding.holder(), entry);
        }
        return budget.withHolders(open, closed);
    }

    /** Returns the record to write; empty where nothing needs a write. */
    Optional<LedgerRecord> result() {
        return mWriteNeeded ? Optional.of(mPlannedRecord) : Optional.empty();
    }

    /** Returns the holdings whose entries the write carries. */
    List<Holding> writtenHoldings() {
        return mWrittenHoldings;
    }
}
