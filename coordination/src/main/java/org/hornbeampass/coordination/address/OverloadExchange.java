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
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Shares which VMs are overloaded, so that answers about addresses leave them out.
 *
 * <p>Sends nothing while no VM is overloaded. An overload that is not repeated expires, since its
 * VM may have ended. Confined to one thread.
 */
public final class OverloadExchange {
    /** How long an overload counts that is not repeated, in milliseconds. */
    private static final long EXPIRY_MS = 3_000;

    /** A VM's state as reported last, and when it was received in milliseconds. */
    private record State(OverloadReport.Item item, long receivedMs) {}

    private final String mSelf;
    private final Map<String, State> mStates = new HashMap<>();
    private final BroadcastQueue<String> mBroadcasts;
    private long mNumber;
    private boolean mOverloaded;

    /**
     * Creates an exchange.
     *
     * @param self this VM's name
     * @param startNumber larger than any number that a former incarnation of this VM used
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     */
    public OverloadExchange(
            String self, long startNumber, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mSelf = self;
        mNumber = startNumber;
        mBroadcasts =
                new BroadcastQueue<>(
                        paths,
                        (nowMs, vms, names) -> {
                            OverloadReport report = report(names);
                            vms.forEach(vm -> peers.send(vm, report));
                        });
    }

    private OverloadReport report(List<String> names) {
        return new OverloadReport(
                names.stream()
                        .filter(mStates::containsKey)
                        .map(n -> mStates.get(n).item())
                        .toList());
    }

    /** Applies this VM's own state and sends what has changed. */
    public void tick(long nowMs, boolean overloaded) {
        boolean changed = overloaded != mOverloaded;
        mOverloaded = overloaded;
        if (changed || (overloaded && mBroadcasts.isRepeatDue(nowMs))) {
            mNumber++;
            mStates.put(
                    mSelf, new State(new OverloadReport.Item(mSelf, mNumber, overloaded), nowMs));
            mBroadcasts.add(mSelf);
        }
        mBroadcasts.tick(nowMs);
        mStates.values().removeIf(s -> nowMs - s.receivedMs() >= EXPIRY_MS);
    }

    /** Applies another VM's report; a {@code PeerHandler}. */
    public void onReport(
            long nowMs, VmId from, OverloadReport report, Consumer<PeerMessage> reply) {
        List<String> changed = new ArrayList<>();
        for (OverloadReport.Item item : report.items()) {
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
        return mStates.values().stream()
                .filter(s -> s.item().overloaded())
                .map(s -> s.item().vm())
                .collect(Collectors.toSet());
    }
}
