package org.hornbeampass.coordination.news;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.state.Failure;

import java.util.List;
import java.util.Set;

/**
 * Keeps one view fresh from other VMs, and tells them what it knows.
 *
 * <p>Only what changed is sent. A question is answered with little, or with the word that there is
 * much; much is read from the platform where it answers, and copied from the other VM where it
 * doesn't. Invariants: at most one question is open, and none is begun while the platform's own
 * answer is on its way; this VM gives one large copy after another. A copy and an answer that begin
 * at the same moment may still both come. Confined to one thread.
 */
final class ViewNews {
    /** How long a VM may take to answer with little, in milliseconds. */
    private static final long TIMEOUT_MS = 400;

    /**
     * The most that is little, in bytes: 20 ms of a link of 7 Mbit/s, and some fifty entries of
     * upstreams.
     */
    static final int LITTLE_BYTES = 16 << 10;

    /**
     * How long a large copy may take, in milliseconds. The largest object has 1 MB, and takes 1.2 s
     * at each of two links of 7 Mbit/s, which callers use as well. With 400 ms no configuration of
     * 500 KB ever came in time, and each was asked for again: five copies of four versions came to
     * each of 48 VMs.
     */
    private static final long COPY_TIMEOUT_MS = 4_000;

    /** Asks for all that is newer, however much it is. */
    private static final int ALL_BYTES = Integer.MAX_VALUE;

    /** What the smallest links carry in a millisecond, in bytes: a copy has left after its time. */
    private static final int LINK_BYTES_PER_MS = 875;

    private final String mPrefix;
    private final WatchedView mView;
    private final PeerNetwork mPeers;
    private boolean mAsking;
    private long mNextCopyMs;

    ViewNews(String prefix, WatchedView view, PeerNetwork peers) {
        mPrefix = prefix;
        mView = view;
        mPeers = peers;
    }

    /** Returns for how long the platform has failed this view, in milliseconds. */
    long failingForMs(long nowMs) {
        return mView.failingForMs(nowMs);
    }

    /** Asks another VM for what is newer. */
    void ask(long nowMs, String name) {
        if (!mAsking && !mView.isReceiving(nowMs)) {
            request(nowMs, name, LITTLE_BYTES, TIMEOUT_MS);
        }
    }

    private void request(long nowMs, String name, int maxBytes, long timeoutMs) {
        mAsking = true;
        mPeers.request(
                nowMs,
                name,
                new NewsRequest(mPrefix, mView.upToVersion(), maxBytes),
                timeoutMs,
                (t, reply) -> {
                    mAsking = false;
                    take(t, name, maxBytes, reply);
                });
    }

    private void take(long nowMs, String name, int maxBytes, Either<Failure, PeerMessage> reply) {
        boolean newer =
                reply.isRight()
                        && reply.get() instanceof NewsReply answer
                        && answer.upToVersion() > mView.upToVersion();
        if (!newer) {
            return;
        }
        NewsReply news = (NewsReply) reply.get();
        if (!news.leftOut()) {
            mView.mergePeerState(
                    nowMs, Set.copyOf(news.keys()), objects(news.objects()), news.upToVersion());
        } else if (mView.failingForMs(nowMs) == 0) {
            mView.relist(nowMs);
        } else if (maxBytes < ALL_BYTES) {
            request(nowMs, name, ALL_BYTES, COPY_TIMEOUT_MS);
        }
    }

    private static List<StoredObject> objects(List<NewsReply.Item> items) {
        return items.stream().map(i -> new StoredObject(i.key(), i.value(), i.version())).toList();
    }

    /** Answers another VM. */
    NewsReply answer(long nowMs, NewsRequest request) {
        long upToVersion = mView.upToVersion();
        if (!mView.ready() || upToVersion <= request.afterVersion()) {
            return NewsReply.nothing(mPrefix);
        }
        List<StoredObject> all = mView.all();
        List<NewsReply.Item> changed =
                all.stream()
                        .filter(o -> o.version() > request.afterVersion())
                        .map(o -> new NewsReply.Item(o.key(), o.value(), o.version()))
                        .toList();
        long bytes = changed.stream().mapToLong(i -> i.value().length()).sum();
        boolean large = bytes > LITTLE_BYTES;
        if (bytes > request.maxBytes() || (large && nowMs < mNextCopyMs)) {
            return NewsReply.tooMuch(mPrefix, upToVersion);
        }
        if (large) {
            mNextCopyMs = nowMs + bytes / LINK_BYTES_PER_MS;
        }
        List<String> keys = all.stream().map(StoredObject::key).toList();
        return new NewsReply(mPrefix, upToVersion, false, keys, changed);
    }
}
