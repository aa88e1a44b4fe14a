package org.hornbeampass.coordination.news;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.state.VmId;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps views up to date from other VMs while the platform does not serve this VM.
 *
 * <p>Nothing is sent while the platform answers and no other VM is known to have newer data, so
 * that the exchange costs nothing in normal operation. Invariant: a view never goes back, since
 * versions are those of the platform's store. Confined to one thread.
 */
public final class ViewExchange {
    /** How long the platform must have failed a view before peers are asked, in milliseconds. */
    public static final long MIN_FAILING_MS = 300;

    /** Interval between requests to peers while the platform fails, in milliseconds. */
    private static final long REQUEST_INTERVAL_MS = 400;

    private final Map<String, ViewRefresher> mViews = new HashMap<>();
    private final Supplier<List<String>> mPeerNames;
    private final RandomGenerator mRandom;
    private long mNextMs;

    /**
     * Creates an exchange.
     *
     * @param views the views by their prefixes
     * @param peers sends messages to other VMs
     * @param names returns the names of other VMs that may be asked
     * @param random chooses the VM to ask
     */
    public ViewExchange(
            Map<String, WatchedView> views,
            PeerNetwork peers,
            Supplier<List<String>> names,
            RandomGenerator random) {
        views.forEach((prefix, view) -> mViews.put(prefix, new ViewRefresher(prefix, view, peers)));
        mPeerNames = names;
        mRandom = random;
    }

    /**
     * Requests changes from a random peer for each view that the platform does not keep up to date.
     */
    public void tick(long nowMs) {
        if (nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + REQUEST_INTERVAL_MS;
        List<String> names = mPeerNames.get();
        if (names.isEmpty()) {
            return;
        }
        for (ViewRefresher view : mViews.values()) {
            if (view.failingForMs(nowMs) >= MIN_FAILING_MS) {
                view.requestChanges(nowMs, names.get(mRandom.nextInt(names.size())));
            }
        }
    }

    /** Requests changes of one view from a VM that is known to have newer data. */
    public void requestNow(long nowMs, String prefix, String name) {
        Optional.ofNullable(mViews.get(prefix)).ifPresent(view -> view.requestChanges(nowMs, name));
    }

    /** Handles {@link ViewChangesRequest}; a {@code PeerHandler}. */
    public void onRequest(
            long nowMs, VmId from, ViewChangesRequest request, Consumer<PeerMessage> reply) {
        reply.accept(
                Optional.ofNullable(mViews.get(request.prefix()))
                        .map(view -> view.answer(nowMs, request))
                        .orElseGet(() -> ViewChangesReply.unchanged(request.prefix())));
    }
}
