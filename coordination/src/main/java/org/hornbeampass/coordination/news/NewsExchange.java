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
 * Keeps views fresh from other VMs while the platform turns this one away.
 *
 * <p>Nothing is sent while the platform answers and nobody is known to be informed further, so that
 * it costs nothing on a calm day. Invariant: a view only goes forward, since versions are the
 * store's own. Confined to one thread.
 */
public final class NewsExchange {
    /** How long the platform must have been silent before peers are asked, in milliseconds. */
    public static final long SILENCE_MS = 300;

    /** How often one peer is asked meanwhile, in milliseconds. */
    private static final long ASK_MS = 400;

    private final Map<String, ViewNews> mViews = new HashMap<>();
    private final Supplier<List<String>> mNames;
    private final RandomGenerator mRandom;
    private long mNextMs;

    /**
     * Makes an exchange.
     *
     * @param views the views by their prefixes
     * @param peers sends messages to other VMs
     * @param names gives the names of other VMs that may be asked
     * @param random chooses whom to ask
     */
    public NewsExchange(
            Map<String, WatchedView> views,
            PeerNetwork peers,
            Supplier<List<String>> names,
            RandomGenerator random) {
        views.forEach((prefix, view) -> mViews.put(prefix, new ViewNews(prefix, view, peers)));
        mNames = names;
        mRandom = random;
    }

    /** Asks one peer for each view that the platform does not keep fresh. */
    public void tick(long nowMs) {
        if (nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + ASK_MS;
        List<String> names = mNames.get();
        if (names.isEmpty()) {
            return;
        }
        for (ViewNews view : mViews.values()) {
            if (view.failingForMs(nowMs) >= SILENCE_MS) {
                view.ask(nowMs, names.get(mRandom.nextInt(names.size())));
            }
        }
    }

    /** Asks one VM for one view, since it is known to be informed further. */
    public void askNow(long nowMs, String prefix, String name) {
        Optional.ofNullable(mViews.get(prefix)).ifPresent(view -> view.ask(nowMs, name));
    }

    /** Answers another VM. */
    public void onRequest(long nowMs, VmId from, NewsRequest request, Consumer<PeerMessage> reply) {
        reply.accept(
                Optional.ofNullable(mViews.get(request.prefix()))
                        .map(view -> view.answer(nowMs, request))
                        .orElseGet(() -> NewsReply.nothing(request.prefix())));
    }
}
