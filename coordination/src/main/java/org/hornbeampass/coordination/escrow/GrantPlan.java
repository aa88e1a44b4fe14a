package org.hornbeampass.coordination.escrow;

import java.util.Map;
import java.util.TreeMap;

/**
 * What this VM wants the store to hold: its grants, its reports, and former lives closed.
 *
 * <p>Invariant: a plan never raises what is granted of a budget above its level, and changes the
 * grant of no other life than this VM's own and its former ones. Confined to one thread.
 */
final class GrantPlan {
    /**
     * The part of a budget that each VM is taken to have used before any was: a VM that serves all
     * of an organisation is known for it after some percent of the budget.
     */
    private static final double PRIOR_FRACTION = 0.01;

    /**
     * The part of a budget that is worth an exchange by itself. Near a budget's end eight VMs
     * passed crumbs to each other, at two calls a crumb.
     */
    private static final long MIN_TRANSFER_DIVISOR = 1_000;

    /** Tokens beyond the target are returned once they exceed it by this part of it. */
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

    /** Returns the record with this VM's wishes in it. */
    EscrowRecord nextRecord(long nowMs, boolean returning) {
        EscrowRecord next = mKnownBudgets.record().copy();
        for (String organisation : mKnownBudgets.organisations()) {
            next.organisations().put(organisation, plannedGrants(nowMs, organisation, returning));
        }
        return next;
    }

    /** Returns whether so many tokens are worth an exchange, and may be had. */
    boolean isWorthTaking(String organisation, long tokens) {
        return Math.min(mKnownBudgets.unallocated(organisation), tokens)
                >= minTransfer(organisation);
    }

    private long minTransfer(String organisation) {
        return Math.max(1, mKnownBudgets.prepaid(organisation) / MIN_TRANSFER_DIVISOR);
    }

    /** Returns whether so many tokens beyond the target are worth returning. */
    boolean isWorthReturning(String organisation, long target, long surplus) {
        return surplus > target / RETURN_DIVISOR && surplus >= minTransfer(organisation);
    }

    /**
     * Returns how many unspent tokens this VM should hold; one that is no home needs only those
     * that its requests wait for.
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
                        - stored.closed()
                        - (stored.spent() - stored.closedSpent())
                        - unreported;
        // Tokens that a dead VM had lent count as its own, and once more as they are spent.
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

    /** Returns this VM's part in what was used; all homes alike while little was. */
    private double usageShare(String organisation, EscrowRecord.Organisation stored, int homes) {
        EscrowAccount account = mAccounts.get(organisation);
        double prior = PRIOR_FRACTION * mKnownBudgets.prepaid(organisation);
        double others = stored.spent() - stored.closedSpent() - account.reportedSpent();
        double own = Math.max(0, account.used());
        return (own + prior) / (own + others + prior * homes);
    }

    long ownGrant(EscrowRecord record, String organisation) {
        EscrowRecord.Holder own =
                record.organisation(organisation).holders().get(mOwner.incarnation());
        return own == null ? 0 : own.granted();
    }

    /** Returns an organisation's grants with this VM's wishes, reports and former lives in them. */
    private EscrowRecord.Organisation plannedGrants(
            long nowMs, String organisation, boolean returning) {
        EscrowRecord.Organisation stored = mKnownBudgets.stored(organisation);
        EscrowAccount account = mAccounts.get(organisation);
        TreeMap<String, EscrowRecord.Holder> holders = new TreeMap<>(stored.holders());
        long closed = stored.closed();
        long closedSpent = stored.closedSpent();
        for (var entry : stored.holders().entrySet()) {
            boolean formerIncarnation =
                    entry.getValue().vm().equals(mOwner.vm())
                            && !entry.getKey().equals(mOwner.incarnation());
            if (formerIncarnation) {
                closed += entry.getValue().granted();
                closedSpent += entry.getValue().spent();
                holders.remove(entry.getKey());
            }
        }
        long unallocated = mKnownBudgets.prepaid(organisation) - stored.granted();
        long granted = plannedOwnGrant(nowMs, organisation, unallocated, returning);
        if (granted > 0 || account.spent() > 0) {
            holders.put(
                    mOwner.incarnation(),
                    new EscrowRecord.Holder(mOwner.vm(), granted, account.spent()));
        } else {
            holders.remove(mOwner.incarnation());
        }
        return new EscrowRecord.Organisation(closed, closedSpent, holders);
    }

    private long plannedOwnGrant(
            long nowMs, String organisation, long unallocated, boolean returning) {
        EscrowAccount account = mAccounts.get(organisation);
        long held = ownGrant(mKnownBudgets.record(), organisation);
        if (returning) {
            return Math.max(0, Math.min(held, account.used()));
        }
        long target = target(nowMs, organisation);
        long desired = Math.max(0, account.used() + target);
        if (desired > held) {
            return held + Math.max(0, Math.min(desired - held, unallocated));
        }
        return isWorthReturning(organisation, target, held - desired) ? desired : held;
    }
}
