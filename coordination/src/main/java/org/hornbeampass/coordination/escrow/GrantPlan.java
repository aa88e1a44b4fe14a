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
    private static final double PRIOR_PART = 0.01;

    /**
     * The part of a budget that is worth an exchange by itself. Near a budget's end eight VMs
     * passed crumbs to each other, at two calls a crumb.
     */
    private static final long LEAST_MOVED_PART = 1_000;

    /** Tokens beyond the target are returned once they exceed it by this part of it. */
    private static final long RETURN_PART = 2;

    private final EscrowOwner mOwner;
    private final KnownBudgets mKnown;
    private final Map<String, EscrowAccount> mAccounts;
    private final GrantPolicy mPolicy;
    private final PoolHomes mHomes;
    private final int mPool;

    GrantPlan(
            EscrowOwner owner,
            KnownBudgets known,
            Map<String, EscrowAccount> accounts,
            GrantPolicy policy,
            PoolHomes homes,
            int pool) {
        mOwner = owner;
        mKnown = known;
        mAccounts = accounts;
        mPolicy = policy;
        mHomes = homes;
        mPool = pool;
    }

    /** Returns the record with this VM's wishes in it. */
    EscrowRecord next(long nowMs, boolean givingBack) {
        EscrowRecord next = mKnown.record().copy();
        for (String organisation : mKnown.organisations()) {
            next.organisations().put(organisation, changed(nowMs, organisation, givingBack));
        }
        return next;
    }

    /** Returns whether so many tokens are worth an exchange, and may be had. */
    boolean takes(String organisation, long tokens) {
        return Math.min(mKnown.unallocated(organisation), tokens) >= leastMoved(organisation);
    }

    private long leastMoved(String organisation) {
        return Math.max(1, mKnown.prepaid(organisation) / LEAST_MOVED_PART);
    }

    /** Returns whether so many tokens beyond the target are worth returning. */
    boolean returns(String organisation, long target, long beyond) {
        return beyond > target / RETURN_PART && beyond >= leastMoved(organisation);
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
        EscrowRecord.Organisation stored = mKnown.stored(organisation);
        long unreported = account.spent() - account.reportedSpent();
        long unspent =
                mKnown.prepaid(organisation)
                        - stored.closed()
                        - (stored.spent() - stored.closedSpent())
                        - unreported;
        // Tokens that a dead VM had lent count as its own, and once more as they are spent.
        long left = Math.max(unspent, mKnown.prepaid(organisation) - stored.granted());
        if (left <= 0) {
            return 0;
        }
        int homes = mHomes.homeCount(mPool);
        return mPolicy.target(
                new GrantPolicy.Inputs(
                        left,
                        homes,
                        share(organisation, stored, homes),
                        account.demandPerMs(nowMs),
                        account.wanted(),
                        mKnown.prepaid(organisation)));
    }

    /** Returns this VM's part in what was used; all homes alike while little was. */
    private double share(String organisation, EscrowRecord.Organisation stored, int homes) {
        EscrowAccount account = mAccounts.get(organisation);
        double prior = PRIOR_PART * mKnown.prepaid(organisation);
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
    private EscrowRecord.Organisation changed(long nowMs, String organisation, boolean givingBack) {
        EscrowRecord.Organisation stored = mKnown.stored(organisation);
        EscrowAccount account = mAccounts.get(organisation);
        TreeMap<String, EscrowRecord.Holder> holders = new TreeMap<>(stored.holders());
        long closed = stored.closed();
        long closedSpent = stored.closedSpent();
        for (var entry : stored.holders().entrySet()) {
            boolean formerLife =
                    entry.getValue().vm().equals(mOwner.vm())
                            && !entry.getKey().equals(mOwner.incarnation());
            if (formerLife) {
                closed += entry.getValue().granted();
                closedSpent += entry.getValue().spent();
                holders.remove(entry.getKey());
            }
        }
        long room = mKnown.prepaid(organisation) - stored.granted();
        long granted = wanted(nowMs, organisation, room, givingBack);
        if (granted > 0 || account.spent() > 0) {
            holders.put(
                    mOwner.incarnation(),
                    new EscrowRecord.Holder(mOwner.vm(), granted, account.spent()));
        } else {
            holders.remove(mOwner.incarnation());
        }
        return new EscrowRecord.Organisation(closed, closedSpent, holders);
    }

    private long wanted(long nowMs, String organisation, long room, boolean givingBack) {
        EscrowAccount account = mAccounts.get(organisation);
        long held = ownGrant(mKnown.record(), organisation);
        if (givingBack) {
            return Math.max(0, Math.min(held, account.used()));
        }
        long target = target(nowMs, organisation);
        long aim = Math.max(0, account.used() + target);
        if (aim > held) {
            return held + Math.max(0, Math.min(aim - held, room));
        }
        return returns(organisation, target, held - aim) ? aim : held;
    }
}
