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
 * Enforces this VM's share of each organisation's limits on concurrency and rate.
 *
 * <p>The configured limits apply to the sum over all VMs. Each VM takes an equal share. The rate is
 * divided exactly; concurrent requests are divided into whole numbers, and the remainder goes to
 * the VMs that rank first for the organisation by rendezvous hashing. Invariant: the shares of VMs
 * that see the same set of VMs sum to exactly the configured limit. When the set shrinks, the share
 * grows only after {@value #GROW_DELAY_MS} ms, in case the missing VM is only briefly unreachable.
 * Thread-safe: one lock, a leaf in the lock order.
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

    /** The usage of one organisation on this VM. */
    private static final class Usage {
        private int mInProgress;
        private double mTokens = 1;
        private long mRefilledAtMs = Long.MIN_VALUE;
        private long mRankEpoch = -1;
        private int mRank;
    }

    /** Creates limits without a configuration for a fleet of which only this VM is known. */
    public OrganisationLimits(String vmName) {
        mVmName = vmName;
        mVms = Set.of(vmName);
        mPendingVms = mVms;
    }

    /** Applies a configuration; one that is not newer than the last is ignored. */
    public void applyConfig(long nowMs, ConfigSnapshot config) {
        synchronized (mLock) {
            if (config.revision() > mConfig.revision()) {
                mConfig = config;
            }
        }
    }

    /** Updates the names of the live VMs; this VM is always included. */
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
     * Starts a request of an organisation if its limits allow it.
     *
     * @return empty if the request was started, in which case {@link #onEnded} must be called once;
     *     otherwise {@code RATE_LIMITED}, or {@code NOT_PERMITTED} if the organisation is not
     *     configured
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
            double tokensPerMs = terms.get().requestsPerSecond() / 1_000.0 / mVms.size();
            refill(nowMs, usage, tokensPerMs);
            if (usage.mTokens < 1) {
                double missing = 1 - usage.mTokens;
                long waitMs = tokensPerMs > 0 ? (long) Math.ceil(missing / tokensPerMs) : 60_000;
                return Optional.of(rateLimited("requests per second", waitMs));
            }
            usage.mTokens--;
            usage.mInProgress++;
            return Optional.empty();
        }
    }

    /** Records the end of a request that was started. */
    public void onEnded(OrganisationId organisation) {
        synchronized (mLock) {
            Usage usage = mUsages.get(organisation);
            if (usage == null || usage.mInProgress == 0) {
                throw new IllegalStateException(
                        organisation + " has more requests ended than started");
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
        int higher = 0;
        for (String vm : mVms) {
            long score = Rendezvous.score(key, Rendezvous.hash(vm));
            higher += score > own || (score == own && vm.compareTo(mVmName) < 0) ? 1 : 0;
        }
        return higher;
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

    private static void refill(long nowMs, Usage usage, double tokensPerMs) {
        double maxTokens = Math.max(1, tokensPerMs * 1_000);
        if (usage.mRefilledAtMs == Long.MIN_VALUE) {
            usage.mTokens = maxTokens;
        } else {
            double tokens = usage.mTokens + Math.max(0, nowMs - usage.mRefilledAtMs) * tokensPerMs;
            usage.mTokens = Math.min(maxTokens, tokens);
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
