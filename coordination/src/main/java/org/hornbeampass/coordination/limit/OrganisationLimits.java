package org.hornbeampass.coordination.limit;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.coordination.upstream.Rendezvous;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationTerms;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Holds each organisation to this VM's share of its limits on concurrency and rate.
 *
 * <p>The settings are over all VMs. Each VM takes an equal share: the rate in fractions, the places
 * in whole ones, where the remainder goes to the VMs that rank first for the organisation by
 * rendezvous hashing. Invariant: VMs that see the same set of VMs have shares that sum to exactly
 * the setting. When the set shrinks the share grows only after {@value #GROW_DELAY_MS} ms, so that
 * a VM that is slow to be heard of is not counted out at once. Thread-safe: one lock, a leaf.
 */
public final class OrganisationLimits {
    private static final long GROW_DELAY_MS = 10_000;

    private final Object mLock = new Object();
    private final String mVmName;
    private final Object2ObjectHashMap<OrganisationId, Usage> mUsages =
            new Object2ObjectHashMap<>();
    private ConfigSnapshot mConfig = ConfigSnapshot.empty();
    private Set<String> mVms;
    private Set<String> mPendingVms;
    private long mPendingSinceMs;
    private long mVmsEpoch;

    /** What one organisation uses on this VM. */
    private static final class Usage {
        private int mInProgress;
        private double mTokens = 1;
        private long mRefilledAtMs = Long.MIN_VALUE;
        private long mRankEpoch = -1;
        private int mRank;
    }

    /** Creates limits for a fleet of which only this VM is known. */
    public OrganisationLimits(String vmName) {
        mVmName = vmName;
        mVms = Set.of(vmName);
        mPendingVms = mVms;
    }

    /** Takes a configuration; one that is not newer than the last is ignored. */
    public void applyConfig(long nowMs, ConfigSnapshot config) {
        synchronized (mLock) {
            if (config.revision() > mConfig.revision()) {
                mConfig = config;
            }
        }
    }

    /** Takes the names of the VMs that are believed to be alive; this VM always counts. */
    public void onLiveVms(long nowMs, Set<String> vmNames) {
        synchronized (mLock) {
            Set<String> vms = new HashSet<>(vmNames);
            vms.add(mVmName);
            applyDueShrink(nowMs);
            if (vms.containsAll(mVms)) {
                setVms(vms);
                mPendingVms = mVms;
                return;
            }
            if (!vms.equals(mPendingVms)) {
                mPendingVms = Set.copyOf(vms);
                mPendingSinceMs = nowMs;
                vms.addAll(mVms);
                setVms(vms);
            }
        }
    }

    /**
     * Starts a request of an organisation.
     *
     * @return empty where it may start, and must then be ended once; otherwise {@code RATE_LIMITED}
     */
    public Optional<Failure> tryStart(long nowMs, OrganisationId organisation) {
        synchronized (mLock) {
            applyDueShrink(nowMs);
            Optional<OrganisationTerms> terms = mConfig.terms(organisation);
            if (terms.isEmpty()) {
                return Optional.of(
                        Failure.of(
                                ErrorKind.NOT_PERMITTED,
                                "organisation " + organisation + " is not configured"));
            }
            Usage usage = mUsages.computeIfAbsent(organisation, o -> new Usage());
            if (usage.mInProgress
                    >= concurrencyShare(organisation, usage, terms.get().maxConcurrent())) {
                return Optional.of(rateLimited("requests in progress", 1_000));
            }
            double perMs = terms.get().requestsPerSecond() / 1_000.0 / mVms.size();
            refill(nowMs, usage, perMs);
            if (usage.mTokens < 1) {
                double missing = 1 - usage.mTokens;
                long waitMs = perMs > 0 ? (long) Math.ceil(missing / perMs) : 60_000;
                return Optional.of(rateLimited("requests per second", waitMs));
            }
            usage.mTokens--;
            usage.mInProgress++;
            return Optional.empty();
        }
    }

    /** Ends a request that was started. */
    public void onEnded(OrganisationId organisation) {
        synchronized (mLock) {
            Usage usage = mUsages.get(organisation);
            if (usage == null || usage.mInProgress == 0) {
                throw new IllegalStateException(organisation + " ended more often than started");
            }
            usage.mInProgress--;
        }
    }

    private int concurrencyShare(OrganisationId organisation, Usage usage, int total) {
        if (usage.mRankEpoch != mVmsEpoch) {
            usage.mRank = rank(organisation);
            usage.mRankEpoch = mVmsEpoch;
        }
        int vms = mVms.size();
        return total / vms + (usage.mRank < total % vms ? 1 : 0);
    }

    private int rank(OrganisationId organisation) {
        long key = Rendezvous.hash(organisation.value());
        long own = Rendezvous.score(key, Rendezvous.hash(mVmName));
        int before = 0;
        for (String vm : mVms) {
            long score = Rendezvous.score(key, Rendezvous.hash(vm));
            before += score > own || (score == own && vm.compareTo(mVmName) < 0) ? 1 : 0;
        }
        return before;
    }

    private void setVms(Set<String> vms) {
        mVms = Set.copyOf(vms);
        mVmsEpoch++;
    }

    private void applyDueShrink(long nowMs) {
        if (mPendingVms.size() < mVms.size() && nowMs - mPendingSinceMs >= GROW_DELAY_MS) {
            setVms(mPendingVms);
        }
    }

    private static void refill(long nowMs, Usage usage, double perMs) {
        double most = Math.max(1, perMs * 1_000);
        if (usage.mRefilledAtMs == Long.MIN_VALUE) {
            usage.mTokens = most;
        } else {
            double credit = usage.mTokens + Math.max(0, nowMs - usage.mRefilledAtMs) * perMs;
            usage.mTokens = Math.min(most, credit);
        }
        usage.mRefilledAtMs = nowMs;
    }

    private static Failure rateLimited(String what, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.RATE_LIMITED,
                "the organisation's limit on " + what + " is reached on this VM",
                retryAfterMs);
    }
}
