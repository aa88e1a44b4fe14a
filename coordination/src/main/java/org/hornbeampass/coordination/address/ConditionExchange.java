package org.hornbeampass.coordination.address;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.BroadcastQueue;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Shares which VMs are overloaded or have lost their links to services, so that answers about
 * addresses leave them out and no such request is forwarded to them.
 *
 * <p>Sends nothing while no VM is in such a condition. A condition that is not repeated expires,
 * since its VM may have ended. Confined to one thread.
 */
public final class ConditionExchange {
    /** How long a condition counts that is not repeated, in milliseconds. */
    private static final long EXPIRY_MS = 3_000;

    /** A VM's state as reported last, and when it was received in milliseconds. */
    private record State(ConditionReport.Item item, long receivedMs) {}

    private final String mSelf;
    private final Map<String, State> mStates = new HashMap<>();
    private final BroadcastQueue<String> mBroadcasts;
    private long mNumber;

    /**
     * Creates an exchange.
     *
     * @param self this VM's name
     * @param startNumber larger than any number that a former incarnation of this VM used
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     */
    public ConditionExchange(
            String self, long startNumber, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mSelf = self;
        mNumber = startNumber;
        mBroadcasts =
                new BroadcastQueue<>(
                        paths,
                        (nowMs, vms, names) -> {
                            ConditionReport report = report(names);
                            vms.forEach(vm -> peers.send(vm, report));
                        });
    }

    private ConditionReport report(List<String> names) {
        return new ConditionReport(
                names.stream()
                        .filter(mStates::containsKey)
                        .map(n -> mStates.get(n).item())
                        .toList());
    }

    /** Applies this VM's own condition and sends what has changed. */
    public void tick(long nowMs, boolean overloaded, Set<String> lostServices) {
        boolean any = overloaded || !lostServices.isEmpty();
        if (isChanged(overloaded, lostServices) || (any && mBroadcasts.isRepeatDue(nowMs))) {
            mNumber++;
            mStates.put(
                    mSelf,
                    new State(
                            new ConditionReport.Item(
                                    mSelf, mNumber, overloaded, List.copyOf(lostServices)),
                            nowMs));
            mBroadcasts.add(mSelf);
        }
        mBroadcasts.tick(nowMs);
        mStates.values().removeIf(s -> nowMs - s.receivedMs() >= EXPIRY_MS);
    }

    private boolean isChanged(boolean overloaded, Set<String> lostServices) {
        State known = mStates.get(mSelf);
        return known == null
                ? overloaded || !lostServices.isEmpty()
                : overloaded != known.item().overloaded()
                        || !lostServices.equals(Set.copyOf(known.item().lostServices()));
    }

    /** Applies another VM's report; a {@code PeerHandler}. */
    public void onReport(
            long nowMs, VmId from, ConditionReport report, Consumer<PeerMessage> reply) {
        List<String> changed = new ArrayList<>();
        for (ConditionReport.Item item : report.items()) {
            State known = mStates.get(item.vm());
            boolean newer = known == null || item.number() > known.item().number();
            if (newer && !item.vm().equals(mSelf)) {
                mStates.put(item.vm(), new State(item, nowMs));
                changed.add(item.vm());
            }
        }
        mBroadcasts.onReceived(from.name(), changed);
    }

    /** Returns the names of the overloaded VMs. */
    public Set<String> overloaded() {
        return vmsWith(ConditionReport.Item::overloaded);
    }

    /** Returns the names of the VMs that have lost their links to any service. */
    public Set<String> withLostServices() {
        return vmsWith(i -> !i.lostServices().isEmpty());
    }

    /** Returns the names of the VMs that have lost their links to a service. */
    public Set<String> withoutService(String service) {
        return vmsWith(i -> i.lostServices().contains(service));
    }

    private Set<String> vmsWith(Predicate<ConditionReport.Item> condition) {
        return mStates.values().stream()
                .map(State::item)
                .filter(condition)
                .map(ConditionReport.Item::vm)
                .collect(Collectors.toSet());
    }
}
