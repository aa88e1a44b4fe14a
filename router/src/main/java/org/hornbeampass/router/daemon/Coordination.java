package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.address.AddressBook;
import org.hornbeampass.coordination.address.AddressSettings;
import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.budget.BudgetSettings;
import org.hornbeampass.coordination.budget.GrantPolicy;
import org.hornbeampass.coordination.config.ConfigSettings;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.limit.OrganisationLimits;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.platform.CallPriority;
import org.hornbeampass.coordination.platform.CallRateLimiter;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.coordination.requests.ShardOwners;
import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.coordination.routing.UpstreamChooser;
import org.hornbeampass.coordination.upstream.Placement;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.router.serve.TargetQueues;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationTerms;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MembershipView;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The coordination components of one router, and the listeners that connect them.
 *
 * <p>Lock order: no component holds its lock while it calls another, so each lock is a leaf; where
 * two components must be called together, they are called one after the other. Thread-safe.
 */
final class Coordination {
    private final Membership mMembership;
    private final ConfigStore mConfig;
    private final AddressBook mAddresses;
    private final BudgetLedger mBudgets;
    private final BudgetAdmin mAccounts;
    private final RequestLedger mRequests;
    private final UpstreamTable mUpstreamTable;
    private final UpstreamChooser mChooser;
    private final OrganisationLimits mLimits;
    private final TargetQueues mQueues;
    private final CallRateLimiter mCalls;
    private final CurrentConfig mCurrentConfig = new CurrentConfig();

    /**
     * Creates the components.
     *
     * @param self this VM's entry in the membership
     * @param settings the settings of this router
     * @param platform the platform, whose calls are limited here by {@link CallRateLimiter}
     * @param network the listeners and clients of this router
     * @param nowMs the current time in milliseconds
     */
    Coordination(
            Member self,
            RouterSettings settings,
            Platform platform,
            RouterNetwork network,
            long nowMs) {
        VmId vm = self.vm();
        Random random = new Random(vm.hashCode() * 31L + vm.incarnation());
        mCalls = new CallRateLimiter(platform, settings.calls(), nowMs);
        mMembership =
                new Membership(
                        self,
                        network.peerNetwork(),
                        settings.seeds(),
                        MembershipSettings.defaults(),
                        random);
        mConfig =
                new ConfigStore(
                        vm,
                        mCalls.withPriority(CallPriority.NORMAL),
                        network.peerNetwork(),
                        mMembership,
                        ConfigSettings.defaults(),
                        new Random(random.nextLong()));
        mAddresses =
                new AddressBook(
                        mMembership::view,
                        this::limitPerSecond,
                        AddressSettings.defaults(),
                        new Random(random.nextLong()));
        mBudgets =
                new BudgetLedger(
                        vm,
                        mCalls.withPriority(CallPriority.URGENT),
                        network.peerNetwork(),
                        new MembershipHomes(mMembership, mAddresses),
                        BudgetSettings.defaults(),
                        GrantPolicy.DEMAND_HORIZON);
        mAccounts = new BudgetAdmin(vm, mCalls.withPriority(CallPriority.URGENT));
        mRequests =
                new RequestLedger(
                        mCalls.withPriority(CallPriority.URGENT),
                        mCalls.withPriority(CallPriority.BACKGROUND),
                        network.peerNetwork(),
                        vm,
                        ShardOwners.rendezvous(this::liveVms),
                        mMembership::isProvedGone,
                        LedgerSettings.standard(),
                        random.nextLong());
        mUpstreamTable =
                new UpstreamTable(
                        new Placement(vm.name(), self.domain(), self.region()),
                        RoutingSettings.defaults());
        mChooser =
                new UpstreamChooser(
                        mUpstreamTable, RoutingPolicy.PREDICTED_WAIT, random.nextLong());
        mLimits = new OrganisationLimits(vm.name());
        mQueues = new TargetQueues(settings.limits().serve().maxWaiting());
        mMembership.addListener(new MembershipUpdates());
        mConfig.addListener(this::applyConfig);
    }

    private List<VmId> liveVms() {
        return mMembership.view().live().stream().map(Member::vm).toList();
    }

    /**
     * Returns an organisation's rate limit, as an upper bound of its demand that is the same on all
     * VMs.
     */
    private double limitPerSecond(OrganisationId organisation) {
        return mConfig.snapshot()
                .terms(organisation)
                .map(OrganisationTerms::requestsPerSecond)
                .orElse(0);
    }

    private void applyConfig(long nowMs, ConfigSnapshot snapshot) {
        mUpstreamTable.applyConfig(nowMs, snapshot);
        mLimits.applyConfig(nowMs, snapshot);
        mBudgets.onConfig(nowMs, snapshot);
        mQueues.resize(nowMs, snapshot, mUpstreamTable.status(nowMs));
        mCurrentConfig.apply(snapshot);
    }

    /** Passes membership changes on to the rate limits and the budgets. */
    private final class MembershipUpdates implements MembershipListener {
        @Override
        public void onChange(long nowMs, MembershipView view) {
            Set<String> names = view.live().stream().map(Member::name).collect(Collectors.toSet());
            mLimits.onLiveVms(nowMs, names);
        }

        @Override
        public void onProvedGone(long nowMs, VmId vm) {
            mBudgets.onVmGone(nowMs, vm);
        }
    }

    /** Sends queued platform calls and bills; called every {@link TickLoop#FAST_INTERVAL_MS}. */
    void tickFast(long nowMs) {
        mCalls.tick(nowMs);
        mRequests.tick(nowMs);
    }

    /** Runs periodic work; called every {@link TickLoop#SLOW_INTERVAL_MS}. */
    void tick(long nowMs) {
        mMembership.tick(nowMs);
        mConfig.tick(nowMs);
        mBudgets.tick(nowMs);
        mQueues.expire(nowMs);
        mQueues.resize(nowMs, mConfig.snapshot(), mUpstreamTable.status(nowMs));
    }

    Membership membership() {
        return mMembership;
    }

    ConfigStore config() {
        return mConfig;
    }

    CurrentConfig currentConfig() {
        return mCurrentConfig;
    }

    AddressBook addresses() {
        return mAddresses;
    }

    BudgetLedger budgets() {
        return mBudgets;
    }

    /** Returns a view of the platform whose calls are sent at background priority. */
    Platform backgroundPlatform() {
        return mCalls.withPriority(CallPriority.BACKGROUND);
    }

    BudgetAdmin accounts() {
        return mAccounts;
    }

    RequestLedger requests() {
        return mRequests;
    }

    UpstreamTable upstreamTable() {
        return mUpstreamTable;
    }

    UpstreamChooser chooser() {
        return mChooser;
    }

    OrganisationLimits limits() {
        return mLimits;
    }

    TargetQueues queues() {
        return mQueues;
    }

    CallRateLimiter calls() {
        return mCalls;
    }
}
