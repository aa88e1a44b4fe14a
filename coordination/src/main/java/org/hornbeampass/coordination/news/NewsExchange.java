package org.hornbeampass.coordination.news;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

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
 * store's own. Thread-safe by the views' locks.
 */
public final class NewsExchange {
    /** How long the platform must have been silent before peers are asked, in milliseconds. */
    private static final long SILENCE_MS = 300;

    /** How often one peer is asked meanwhile, in milliseconds. */
    private static final long ASK_MS = 400;

    /** How long a peer may take, in milliseconds; the next one is asked anyway. */
    private static final long TIMEOUT_MS = 400;

    private final Map<String, WatchedView> mViews;
    private final PeerNetwork mPeers;
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
        mViews = Map.copyOf(views);
        mPeers = peers;
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
        mViews.forEach(
                (prefix, view) -> {
                    if (view.failingForMs(nowMs) >= SILENCE_MS) {
                        ask(nowMs, names.get(mRandom.nextInt(names.size())), prefix, view);
                    }
                });
    }

    /** Asks one VM for all views, since it is known to be informed further. */
    public void askNow(long nowMs, String name) {
        mViews.forEach((prefix, view) -> ask(nowMs, name, prefix, view));
    }

    private void ask(long nowMs, String name, String prefix, WatchedView view) {
        mPeers.request(
                nowMs,
                name,
                new NewsRequest(prefix, view.upToVersion()),
                TIMEOUT_MS,
                (t, reply) -> take(t, view, reply));
    }

    private static void take(long nowMs, WatchedView view, Either<Failure, PeerMessage> reply) {
        if (reply.isRight()
                && reply.get() instanceof NewsReply news
                && news.upToVersion() > view.upToVersion()) {
            view.offer(
                    nowMs,
                    news.objects().stream()
                            .map(i -> new StoredObject(i.key(), i.value(), i.version()))
                            .toList(),
                    news.upToVersion());
        }
    }

    /** Answers another VM. */
    public void onRequest(long nowMs, VmId from, NewsRequest request, Consumer<PeerMessage> reply) {
        Optional<WatchedView> view = Optional.ofNullable(mViews.get(request.prefix()));
        boolean newer =
                view.isPresent()
                        && view.get().ready()
                        && view.get().upToVersion() > request.afterVersion();
        if (!newer) {
            reply.accept(new NewsReply(request.prefix(), 0, List.of()));
            return;
        }
        reply.accept(
                new NewsReply(
                        request.prefix(),
                        view.get().upToVersion(),
                        view.get().all().stream()
                                .map(o -> new NewsReply.Item(o.key(), o.value(), o.version()))
                                .toList()));
    }
}
