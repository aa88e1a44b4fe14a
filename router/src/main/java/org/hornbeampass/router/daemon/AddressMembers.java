package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.address.ConditionExchange;
import org.hornbeampass.coordination.address.PreferredMembers;
import org.hornbeampass.coordination.capacity.AddressCaller;
import org.hornbeampass.coordination.capacity.AddressSnapshot;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.router.relay.AddressRequest;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.HomeRegions;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongFunction;

/**
 * Selects the VMs that answers about addresses name: by free capacity where this VM's capacity is
 * set, otherwise all but those that serve callers worse.
 *
 * <p>Confined to one event loop.
 */
final class AddressMembers {
    private final LongFunction<List<Member>> mCandidates;
    private final RelayContext mContext;
    private final ConditionExchange mConditions;
    private final Optional<CapacityMonitor> mCapacity;
    private final Random mRandom;

    /**
     * Creates the selection.
     *
     * @param candidates returns the VMs that may be named at a time in milliseconds
     * @param context provides the configuration in force
     * @param conditions provides the conditions of the VMs
     * @param capacity selects by free capacity; empty where that is off
     * @param random distributes the callers
     */
    AddressMembers(
            LongFunction<List<Member>> candidates,
            RelayContext context,
            ConditionExchange conditions,
            Optional<CapacityMonitor> capacity,
            Random random) {
        mCandidates = candidates;
        mContext = context;
        mConditions = conditions;
        mCapacity = capacity;
        mRandom = random;
    }

    /**
     * Returns the selection according to what is known at a time in milliseconds; any thread may
     * use it.
     */
    Function<AddressRequest, List<Member>> at(long nowMs) {
        List<Member> candidates = mCandidates.apply(nowMs);
        Optional<RouteTable> routes = mContext.routes();
        Set<String> withLostServices = mConditions.withLostServices();
        if (mCapacity.isPresent()) {
            CapacityMonitor capacity = mCapacity.get();
            AddressSnapshot snapshot = capacity.snapshot(candidates, withLostServices);
            return request -> capacity.select(snapshot, caller(routes, request), mRandom);
        }
        Set<String> overloaded = mConditions.overloaded();
        return request ->
                PreferredMembers.select(
                        candidates,
                        homes(routes, request),
                        request.region(),
                        withLostServices,
                        overloaded);
    }

    private static AddressCaller caller(Optional<RouteTable> routes, AddressRequest request) {
        return new AddressCaller(homes(routes, request), request.region(), request.domain());
    }

    private static HomeRegions homes(Optional<RouteTable> routes, AddressRequest request) {
        return routes.map(r -> r.homesOf(request.host())).orElse(HomeRegions.ANY);
    }
}
