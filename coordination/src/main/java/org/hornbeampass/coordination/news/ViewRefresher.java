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
 * Keeps one view up to date from other VMs, and answers their requests for its changes.
 *
 * <p>Only objects that changed are sent. A VM replies to a first request with a small change, or
 * reports that the change is large. A large change is read from the platform if that answers, and
 * is otherwise copied from the other VM by a second request. Invariants: at most one request is
 * open, and none is started while a reply of the platform is being received; this VM sends large
 * copies one after another. A copy and a reply of the platform that start at the same moment may
 * still both arrive. Confined to one thread.
 */
final class ViewRefresher {
    /** Timeout of a request for a small change, in milliseconds. */
    private static final long SMALL_REPLY_TIMEOUT_MS = 400;

    /**
     * Largest size of a small change, in bytes: 20 ms on a link of 7 Mbit/s, and about fifty
     * entries of upstreams.
     */
    static final int SMALL_REPLY_BYTES = 16 << 10;

    /**
     * Timeout of a request for a large change, in milliseconds. The largest object has 1 MB and
     * takes 1.2 s on each of two links of 7 Mbit/s, which callers use as well. With a timeout of
     * 400 ms no configuration of 500 KB arrived in time and each was requested again, so that each
     * of 48 VMs received five copies of four versions.
     */
    private static final long LARGE_REPLY_TIMEOUT_MS = 4_000;

    /** Size limit of a request for all changes, however large they are. */
    private static final int UNLIMITED_BYTES = Integer.MAX_VALUE;

    /**
     * Bytes per millisecond on the slowest links, from which the time to transmit a copy is
     * computed.
     */
    private static final int LINK_BYTES_PER_MS = 875;

    private final String mPrefix;
    private final WatchedView mView;
    private final PeerNetwork mPeers;
    private boolean mRequestOpen;
    private long mNextLargeReplyMs;

    ViewRefresher(String prefix, WatchedView view, PeerNetwork peers) {
        mPrefix = prefix;
        mView = view;
        mPeers = peers;
    }

    /** Returns how long the platform has failed this view, in milliseconds. */
    long failingForMs(long nowMs) {
        return mView.failingForMs(nowMs);
    }

    /** Requests newer changes from another VM, unless a request or a reply is already under way. */
    void requestChanges(long nowMs, String name) {
        if (!mRequestOpen && !mView.isReceiving(nowMs)) {
            sendRequest(nowMs, name, SMALL_REPLY_BYTES, SMALL_REPLY_TIMEOUT_MS);
        }
    }

    private void sendRequest(long nowMs, String name, int maxBytes, long timeoutMs) {
        mRequestOpen = true;
        mPeers.request(
                nowMs,
                name,
                new ViewChangesRequest(mPrefix, mView.upToVersion(), maxBytes),
                timeoutMs,
                (t, reply) -> {
                    mRequestOpen = false;
                    onReply(t, name, maxBytes, reply);
                });
    }

    private void onReply(
            long nowMs, String name, int maxBytes, Either<Failure, PeerMessage> reply) {
        boolean newer =
                reply.isRight()
                        && reply.get() instanceof ViewChangesReply answer
                        && answer.upToVersion() > mView.upToVersion();
        if (!newer) {
            return;
        }
        ViewChangesReply changes = (ViewChangesReply) reply.get();
        if (!changes.leftOut()) {
            mView.mergePeerState(
                    nowMs,
                    Set.copyOf(changes.keys()),
                    objects(changes.objects()),
                    changes.upToVersion());
        } else if (mView.failingForMs(nowMs) == 0) {
            mView.relist(nowMs);
        } else if (maxBytes < UNLIMITED_BYTES) {
            sendRequest(nowMs, name, UNLIMITED_BYTES, LARGE_REPLY_TIMEOUT_MS);
        }
    }

    private static List<StoredObject> objects(List<ViewChangesReply.Item> items) {
        return items.stream().map(i -> new StoredObject(i.key(), i.value(), i.version())).toList();
    }

    /** Returns the reply to a request of another VM. */
    ViewChangesReply answer(long nowMs, ViewChangesRequest request) {
        long upToVersion = mView.upToVersion();
        if (!mView.ready() || upToVersion <= request.afterVersion()) {
            return ViewChangesReply.unchanged(mPrefix);
        }
        List<StoredObject> all = mView.all();
        List<ViewChangesReply.Item> changed =
                all.stream()
                        .filter(o -> o.version() > request.afterVersion())
                        .map(o -> new ViewChangesReply.Item(o.key(), o.value(), o.version()))
                        .toList();
        long bytes = changed.stream().mapToLong(i -> i.value().length()).sum();
        boolean large = bytes > SMALL_REPLY_BYTES;
        if (bytes > request.maxBytes() || (large && nowMs < mNextLargeReplyMs)) {
            return ViewChangesReply.tooLarge(mPrefix, upToVersion);
        }
        if (large) {
            mNextLargeReplyMs = nowMs + bytes / LINK_BYTES_PER_MS;
        }
        List<String> keys = all.stream().map(StoredObject::key).toList();
        return new ViewChangesReply(mPrefix, upToVersion, false, keys, changed);
    }
}
