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
    private final GrantCalculator mDrawing;
    private final boolean mReportDue;
    private final boolean mClosing;
    private final List<Holding> mWritten = new ArrayList<>();
    private LedgerRecord mNext;
    private boolean mNeeded;

    /**
     * Creates a plan.
     *
     * @param base the record that the write expects
     * @param drawing decides how much each budget draws and gives back
     * @param reportDue whether spending is to be reported now
     * @param closing whether this VM shuts down and gives everything back
     */
    LedgerWritePlan(
            LedgerRecord base, GrantCalculator drawing, boolean reportDue, boolean closing) {
        mNext = base;
        mDrawing = drawing;
        mReportDue = reportDue;
        mClosing = closing;
    }

    /** Closes the entries of holders that are proved gone: what they did not report is spent. */
    void closeGone(Predicate<HolderId> gone) {
        for (var each : Map.copyOf(mNext.budgets()).entrySet()) {
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
                mNext = mNext.with(each.getKey(), budget.withHolders(open, closed));
                mNeeded = true;
            }
        }
    }

    /** Adds one budget's draw, return and report. */
    void add(long nowMs, BudgetAccount account) {
        Holding holding = account.holding();
        BudgetRecord budget = mNext.budget(account.key().budget());
        Optional<HolderRecord> seen = Optional.ofNullable(budget.holders().get(holding.holder()));
        long draw = mClosing ? 0 : mDrawing.draw(nowMs, account, budget);
        if (draw <= 0 && seen.isPresent()) {
            giveBack(nowMs, account, budget);
        }
        HolderRecord known = seen.orElse(HolderRecord.NONE);
        boolean refunded = holding.unreportedSpent(known) < 0;
        boolean report = mReportDue || mClosing || refunded || holding.returning();
        if (draw <= 0
                && !(report && holding.unreported(known))
                && !(mClosing && seen.isPresent())) {
            return;
        }
        mNext = mNext.with(account.key().budget(), write(budget, holding, seen, draw));
        mWritten.add(holding);
        mNeeded = true;
    }

    private void giveBack(long nowMs, BudgetAccount account, BudgetRecord budget) {
        Holding holding = account.holding();
        if (mClosing || budget.target().isPresent()) {
            holding.giveBack(holding.free() - account.waitingTokens());
            return;
        }
        if (mReportDue || mDrawing.returnsAtOnce()) {
            holding.giveBack(mDrawing.giveBack(nowMs, account, budget));
        }
    }

    private BudgetRecord write(
            BudgetRecord budget, Holding holding, Optional<HolderRecord> seen, long draw) {
        Map<HolderId, HolderRecord> open = new TreeMap<>(budget.holders());
        HolderRecord closed = budget.closed();
        if (seen.isPresent()) {
            for (var adopted : holding.adopt(seen.get()).entrySet()) {
                HolderRecord from = open.get(adopted.getKey());
                if (from == null) {
                    closed = closed.withMovedOut(adopted.getValue());
                } else {
                    open.put(adopted.getKey(), from.withMovedOut(adopted.getValue()));
                }
            }
        }
        HolderRecord entry = holding.entry(seen, draw);
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
        return mNeeded ? Optional.of(mNext) : Optional.empty();
    }

    /** Returns the holdings whose entries the write carries. */
    List<Holding> written() {
        return mWritten;
    }
}
