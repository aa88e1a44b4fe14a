package org.hornbeampass.coordination.stream;

import org.hornbeampass.coordination.platform.PagedListing;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.Sha256;

import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;

/**
 * Records the origins of this VM's recent streams in the store, in batches, while streams of
 * several versions may be resumed; finds those that VMs recorded before they ended.
 *
 * <p>Invariants: an origin never changes once it is recorded, unless it becomes uncertain; what is
 * written keeps the streams of this VM's former incarnation that may still be resumed. Confined to
 * one thread.
 */
final class OriginArchive {
    static final String PREFIX = "stream-origins/";

    /** Minimum time between two writes of a VM in a small fleet, in milliseconds. */
    private static final long WRITE_INTERVAL_MS = 1_000;

    /** The VMs that may write at that interval together; more VMs write less often. */
    private static final int VMS_AT_FULL_RATE = 50;

    /** Bounds the size of the record; the oldest streams are left out first. */
    private static final int MAX_STREAMS = 1_000;

    private static final int DIGEST_BYTES = 12;
    private static final int PAGE_SIZE = 500;

    private final Platform mStore;
    private final String mKey;
    private final IntSupplier mVms;
    private final StreamRecordListener mListener;
    private final Map<String, Own> mOwn = new LinkedHashMap<>();
    private final Map<String, StreamOrigin> mListed = new HashMap<>();
    private final SharedRead<Boolean> mList = new SharedRead<>(this::startList);
    private boolean mChanged;
    private boolean mWriteInProgress;
    private long mNextWriteMs = Long.MIN_VALUE;
    private long mVersion;

    /** The origin of a stream of this VM, until it can't be resumed any more. */
    private record Own(StreamOrigin origin, long untilMs) {}

    /**
     * Creates an empty archive.
     *
     * @param store the store
     * @param vm the name of this VM, which is the name of its record
     * @param vms returns the number of VMs that write such records
     * @param listener notified of failed calls
     */
    OriginArchive(Platform store, String vm, IntSupplier vms, StreamRecordListener listener) {
        mStore = store;
        mKey = PREFIX + vm;
        mVms = vms;
        mListener = listener;
    }

    /**
     * Adds a stream that begins here.
     *
     * @param nowMs the present time in milliseconds
     * @param key the stream
     * @param origin where it begins
     * @param keepMs how long it may last, in milliseconds
     */
    void add(long nowMs, StreamKey key, StreamOrigin origin, long keepMs) {
        put(nowMs, digest(key), origin, keepMs);
        mChanged = true;
    }

    private void put(long nowMs, String digest, StreamOrigin origin, long keepMs) {
        mOwn.merge(
                digest,
                new Own(origin, nowMs + keepMs),
                (former, newer) -> newer.origin().hasCertainVersion() ? former : newer);
        if (mOwn.size() > MAX_STREAMS) {
            Iterator<String> oldest = mOwn.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private static String digest(StreamKey key) {
        byte[] hash = Arrays.copyOf(Sha256.hash(key.hashText()), DIGEST_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(hash);
    }

    /**
     * Drops streams that have ended, and writes the others if that is due.
     *
     * @param nowMs the present time in milliseconds
     * @param wanted whether the origins may be needed after the end of all VMs
     */
    void tick(long nowMs, boolean wanted) {
        mList.tick(nowMs);
        mOwn.values().removeIf(o -> nowMs >= o.untilMs());
        if (!wanted || !mChanged || mWriteInProgress || nowMs < mNextWriteMs) {
            return;
        }
        mChanged = false;
        mNextWriteMs = nowMs + WRITE_INTERVAL_MS * Math.max(1, mVms.getAsInt() / VMS_AT_FULL_RATE);
        Map<String, StreamOrigin> origins = new LinkedHashMap<>();
        mOwn.forEach((digest, own) -> origins.put(digest, own.origin()));
        String value = Json.encode(ArchivedStreams.of(origins));
        mWriteInProgress = true;
        mStore.submit(nowMs, PlatformCall.write(mKey, value, mVersion), this::onWritten);
    }

    private void onWritten(long nowMs, PlatformReply reply) {
        mWriteInProgress = false;
        if (reply instanceof PlatformReply.Written written) {
            mVersion = written.version();
            return;
        }
        mChanged = true;
        if (reply instanceof PlatformReply.Conflict conflict) {
            mVersion = conflict.current().map(StoredObject::version).orElse(0L);
            conflict.current().ifPresent(o -> keepFormer(nowMs, o));
            mNextWriteMs = nowMs;
            return;
        }
        mListener.onRecordFailed(nowMs, mKey, reply.toString());
    }

    private void keepFormer(long nowMs, StoredObject object) {
        read(object).forEach((d, origin) -> put(nowMs, d, origin, StreamHistory.MIN_KEEP_MS));
    }

    private static Map<String, StreamOrigin> read(StoredObject object) {
        return Json.decode(object.value(), ArchivedStreams.class)
                .map(ArchivedStreams::origins)
                .getOrElse(Map.of());
    }

    /** Finds the recorded origin of a stream; lists the records if it is not known here. */
    void find(long nowMs, StreamKey key, BiConsumer<Long, Optional<StreamOrigin>> done) {
        String digest = digest(key);
        Optional<StreamOrigin> known = Optional.ofNullable(mListed.get(digest));
        if (known.isPresent()) {
            done.accept(nowMs, known);
            return;
        }
        mList.read(nowMs, (t, ok) -> done.accept(t, Optional.ofNullable(mListed.get(digest))));
    }

    private void startList(long nowMs, BiConsumer<Long, Boolean> done) {
        mListed.clear();
        list(nowMs, new PagedListing(PREFIX, PAGE_SIZE), done);
    }

    private void list(long nowMs, PagedListing listing, BiConsumer<Long, Boolean> done) {
        mStore.submit(nowMs, listing.nextCall(), (t, reply) -> onListed(t, reply, listing, done));
    }

    private void onListed(
            long nowMs, PlatformReply reply, PagedListing listing, BiConsumer<Long, Boolean> done) {
        if (!(reply instanceof PlatformReply.Listed page)) {
            mListener.onRecordFailed(nowMs, PREFIX, reply.toString());
            done.accept(nowMs, false);
            return;
        }
        page.objects().forEach(o -> mListed.putAll(read(o)));
        switch (listing.add(page)) {
            case MORE, RESTORED -> list(nowMs, listing, done);
            case COMPLETE -> done.accept(nowMs, true);
            case NOT_ADVANCING -> {
                mListener.onRecordFailed(nowMs, PREFIX, PagedListing.NO_END);
                done.accept(nowMs, false);
            }
            default -> throw new IllegalStateException("no such result of a page");
        }
    }
}
