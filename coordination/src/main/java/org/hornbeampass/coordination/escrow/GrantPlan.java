package org.hornbeampass.coordination.escrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plans the record that this VM writes to the store: its own grants and spending reports, with the
 * entries of its former incarnations closed.
 *
 * <p>Invariant: a plan never raises the granted tokens of a budget above its size, and changes only
 * the grants of this VM's current and former incarnations. Not thread-safe; must be used on one
 * thread.
 */
final class GrantPlan {
    /**
     * The fraction of a budget that each VM is assumed to have used at the start. If one VM serves
     * all requests of an organisation, this shows after a few percent of the budget.
     */
    private static final double PRIOR_FRACTION = 0.01;

    /**
     * Tokens are moved only if they are at least the budget divided by this number. Otherwise, near
     * the end of a budget, eight VMs passed tiny amounts to each other at two calls each.
     */
    private static final long MIN_TRANSFER_DIVISOR = 1_000;

    /**
     * How many ended holders of an organisation are kept apart, where the store may be restored:
     * more than end while a copy becomes outdated.
     */
    private static final int MAX_ENDED = 50;

    /** Surplus tokens are returned once they exceed the target divided by this number. */
    private static final long RETURN_DIVISOR = 2;

    private final EscrowOwner mOwner;
    private final KnownBudgets mKnownBudgets;
    private final Map<String, EscrowAccount> mAccounts;
    private final GrantPolicy mPolicy;
    private final PoolHomes mHomes;
    private final int mPool;

    GrantPlan(
            EscrowOwner owner,
            KnownBudgets knownBudgets,
            Map<String, EscrowAccount> accounts,
            GrantPolicy policy,
            PoolHomes homes,
            int pool) {
        mOwner = owner;
        mKnownBudgets = knownBudgets;
        mAccounts = accounts;
        mPolicy = policy;
        mHomes = homes;
        mPool = pool;
    }

    /** Returns the record to write, with this VM's planned grants and reports. */
    EscrowRecord nextRecord(long nowMs, boolean returning) {
        KnownRecords records = mKnownBudgets.records();
        boolean complete = mKnownBudgets.ceilings().isComplete(records);
        EscrowRecord next = records.known().writtenIn(records.era(), complete);
        for (String organisation : mKnownBudgets.organisations()) {
            next.organisations().put(organisation, plannedGrants(nowMs, organisation, returning));
        }
        return next;
    }

    /**
     * Returns whether the given tokens, limited to those still unallocated, are worth an exchange
     * with the store.
     */
    boolean isWorthTaking(String organisation, long tokens) {
        return Math.min(mKnownBudgets.obtainable(organisation), tokens)
                >= minTransfer(organisation);
    }

    private long minTransfer(String organisation) {
        return Math.max(1, mKnownBudgets.prepaid(organisation) / MIN_TRANSFER_DIVISOR);
    }

    /** Returns whether the given surplus over the target is worth returning. */
    boolean isWorthReturning(String organisation, long target, long surplus) {
        return surplus > target / RETURN_DIVISOR && surplus >= minTransfer(organisation);
    }

    /**
     * Returns how many unspent tokens this VM should hold. A VM that is not a home needs only the
     * tokens that its requests wait for.
     */
    long target(long nowMs, String organisation) {
        EscrowAccount account = mAccounts.get(organisation);
        if (!mHomes.isHome(mPool)) {
            return account.wanted();
        }
        EscrowRecord.Organisation stored = mKnownBudgets.stored(organisation);
        long unreported = account.spent() - account.reportedSpent();
        long unspent =
                mKnownBudgets.prepaid(organisation)
                        - stored.closedTokens()
                        - (stored.spent() - stored.closedSpentTokens())
                        - unreported;
        // The difference above counts tokens lent by a VM that is gone twice once they are spent:
        // as
        // its closed grant and as spending of the borrower.
        long left = Math.max(unspent, mKnownBudgets.prepaid(organisation) - stored.granted());
        if (left <= 0) {
            return 0;
        }
        int homes = mHomes.homeCount(mPool);
        return mPolicy.target(
                new GrantPolicy.Inputs(
                        left,
                        homes,
                        usageShare(organisation, stored, homes),
                        account.demandPerMs(nowMs),
                        account.wanted(),
                        mKnownBudgets.prepaid(organisation)));
    }

    /**
     * Returns this VM's fraction of the used tokens; about equal for all homes while few were used.
     */
    private double usageShare(String organisation, EscrowRecord.Organisation stored, int homes) {
        EscrowAccount account = mAccounts.get(organisation);
        double prior = PRIOR_FRACTION * mKnownBudgets.prepaid(organisation);
        double others = stored.spent() - stored.closedSpentTokens() - account.reportedSpent();
        double own = Math.max(0, account.used());
        return (own + prior) / (own + others + prior * homes);
    }

    long ownGrant(EscrowRecord record, String organisation) {
        EscrowRecord.Holder own =
                record.organisation(organisation).holders().get(mOwner.incarnation());
        return own == null ? 0 : own.granted();
    }

    /**
     * Returns an organisation's grants with this VM's planned grant and report, and the entries of
     * its former incarnations closed.
     */
    private EscrowRecord.Organisation plannedGrants(
            long nowMs, String organisation, boolean returning) {
        EscrowRecord.Organisation stored = mKnownBudgets.stored(organisation);
        EscrowAccount account = mAccounts.get(organisation);
        TreeMap<String, EscrowRecord.Holder> holders = new TreeMap<>(stored.holders());
        List<EscrowRecord.Ended> ended = new ArrayList<>(stored.ended());
        for (var entry : stored.holders().entrySet()) {
            boolean formerIncarnation =
                    entry.getValue().vm().equals(mOwner.vm())
                            && !entry.getKey().equals(mOwner.incarnation());
            if (formerIncarnation) {
                ended.add(EscrowRecord.Ended.of(entry.getKey(), entry.getValue()));
                holders.remove(entry.getKey());
            }
        }
        long unknown = mKnownBudgets.unknownGrants(organisation);
        long era = mKnownBudgets.records().era();
        if (unknown > 0) {
            ended.add(EscrowRecord.Ended.unknownBefore(era, unknown));
        }
        long closed = stored.closed();
        long closedSpent = stored.closedSpent();
        int kept = era > 0 ? MAX_ENDED : 0;
        while (ended.size() > kept) {
            EscrowRecord.Ended oldest = ended.remove(0);
            closed += oldest.granted();
            closedSpent += oldest.spent();
        }
        long unallocated = mKnownBudgets.grantable(organisation);
        long granted = plannedOwnGrant(nowMs, organisation, unallocated, returning);
        if (granted > 0 || account.spent() > 0) {
            holders.put(
                    mOwner.incarnation(),
                    new EscrowRecord.Holder(mOwner.vm(), granted, account.spent()));
        } else {
            holders.remove(mOwner.incarnation());
        }
        EscrowRecord.Organisation planned =
                new EscrowRecord.Organisation(closed, closedSpent, holders, ended);
        if (era == 0) {
            return planned;
        }
        return planned.withCeilings(
                mKnownBudgets
                        .ceilings()
                        .next(
                                organisation,
                                stored,
                                planned.granted(),
                                mKnownBudgets.prepaid(organisation)),
                mKnownBudgets.usableCeiling(organisation));
    }

    private long plannedOwnGrant(
            long nowMs, String organisation, long unallocated, boolean returning) {
        EscrowAccount account = mAccounts.get(organisation);
        long held = account.ownPart(ownGrant(mKnownBudgets.records().known(), organisation));
        if (returning) {
            return Math.max(0, account.used());
        }
        long target = target(nowMs, organisation);
        long desired = Math.max(0, account.used() + target);
        if (desired > held) {
            // A restored store may have forgotten a grant that is used already.
            long raised = held + Math.max(0, Math.min(desired - held, unallocated));
            return Math.max(raised, account.used());
        }
        return isWorthReturning(organisation, target, held - desired) ? desired : held;
    }
}
