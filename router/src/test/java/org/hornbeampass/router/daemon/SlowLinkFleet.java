package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import io.vavr.control.Either;

import org.hornbeampass.coordination.news.ViewChangesReply;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.news.WatchPaths;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.AnswerProgress;
import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/**
 * VMs that watch a store over links of limited bandwidth, in virtual time.
 *
 * <p>Everything that a VM receives, from the store or from another VM, passes its inward link one
 * after another; what it sends to other VMs passes its outward link first. The store's own link has
 * no limit. A VM that is cut off from the store receives no answer to waiting calls, detects this
 * after {@link #SILENCE_TIMEOUT_MS}, and can't connect. Confined to one thread.
 */
final class SlowLinkFleet {
    static final String CONFIG = "config/main";

    /** The bandwidth of the slowest links of the users' VMs: 7 Mbit/s. */
    static final double SLOW_BYTES_PER_MS = 875;

    private static final double FAST_BYTES_PER_MS = 17_500;
    private static final int HEAD_BYTES = 200;
    private static final long DELAY_MS = 2;
    private static final long SILENCE_TIMEOUT_MS = 3_000;
    private static final long CONNECT_TIMEOUT_MS = 500;
    private static final long TICK_MS = 100;
    private static final long PROGRESS_MS = 50;

    /**
     * Interval at which a VM announces the revision of its view to others, as probes and gossip do.
     */
    private static final long GOSSIP_MS = 500;

    private static final int GOSSIP_FANOUT = 2;

    private final VirtualTime mTime = new VirtualTime();
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Random mRandom;
    private final List<Vm> mVms = new ArrayList<>();

    /**
     * Starts the VMs.
     *
     * @param fast the number of VMs with links of 140 Mbit/s
     * @param slow the number of VMs with links of {@link #SLOW_BYTES_PER_MS}
     */
    SlowLinkFleet(int fast, int slow, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < fast + slow; i++) {
            mVms.add(new Vm("vm-" + i, i < fast ? FAST_BYTES_PER_MS : SLOW_BYTES_PER_MS));
        }
        mTime.every(0, TICK_MS, () -> mStore.expireWatches(mTime.nowMs()));
        mVms.forEach(Vm::start);
    }

    VirtualTime time() {
        return mTime;
    }

    List<Vm> vms() {
        return mVms;
    }

    /** Writes a version of the configuration, of a size in bytes, at a time in milliseconds. */
    void writeConfig(long atMs, long version, int bytes) {
        write(atMs, CONFIG, version + " ".repeat(bytes));
    }

    void write(long atMs, String key, String value) {
        mTime.at(atMs, () -> replace(key, value));
    }

    private void replace(String key, String value) {
        mStore.submit(
                mTime.nowMs(),
                new PlatformCall.Get(key),
                (t, reply) -> {
                    PlatformCall write =
                            reply instanceof PlatformReply.Found found
                                    ? new PlatformCall.Update(key, value, found.object().version())
                                    : new PlatformCall.Create(key, value);
                    mStore.submit(t, write, (u, written) -> {});
                });
    }

    /** Cuts VMs off from the store between two times in milliseconds. */
    void cutOff(List<Vm> vms, long fromMs, long untilMs) {
        mTime.at(fromMs, () -> vms.forEach(Vm::cutOff));
        mTime.at(untilMs, () -> vms.forEach(v -> v.mCutOff = false));
    }

    /** Returns the names of the VMs whose configuration is older than a version. */
    List<String> vmsBehind(long version) {
        return mVms.stream().filter(v -> v.mConfigVersion < version).map(v -> v.mName).toList();
    }

    /** Returns the number of bytes that all VMs together have received so far. */
    long bytes() {
        return mVms.stream().mapToLong(v -> v.mInward.mBytes).sum();
    }

    /** Returns the number of calls that all VMs together have made to the store so far. */
    int calls() {
        return mVms.stream().mapToInt(v -> v.mCalls).sum();
    }

    /** One direction of a VM's link. */
    private final class Link {
        private final double mBytesPerMs;
        private long mFreeMs;
        private long mBytes;

        Link(double bytesPerMs) {
            mBytesPerMs = bytesPerMs;
        }

        /** Returns the time at which the next message can start. */
        long freeMs() {
            return Math.max(mFreeMs, mTime.nowMs());
        }

        /** Queues a message, and returns the time at which its last byte has passed. */
        long pass(int bytes) {
            mBytes += bytes;
            mFreeMs = freeMs() + Math.round(bytes / mBytesPerMs);
            return mFreeMs;
        }
    }

    /** One VM: the daemon's views of the store, connected over simulated links. */
    final class Vm {
        private final String mName;
        private final Link mInward;
        private final Link mOutward;
        private final StoreViews mViews;
        private final List<AtomicBoolean> mOpenCalls = new ArrayList<>();
        private final Map<String, Long> mPeerRevisions = new HashMap<>();
        private final List<Long> mVersions = new ArrayList<>();
        private long mAnnouncedRevision;
        private long mConfigVersion;
        private int mCalls;
        private boolean mCutOff;

        Vm(String name, double bytesPerMs) {
            mName = name;
            mInward = new Link(bytesPerMs);
            mOutward = new Link(bytesPerMs);
            mViews =
                    new StoreViews(
                            new EraGuard(new Store()),
                            List.of(
                                    new StoreViews.Source(
                                            ViewKind.CONFIGURATION,
                                            "config/",
                                            CatchUpMode.NEWEST_VERSION,
                                            (nowMs, change) -> onConfig(change)),
                                    new StoreViews.Source(
                                            ViewKind.UPSTREAMS,
                                            "upstreams/",
                                            CatchUpMode.ALL_VERSIONS,
                                            (nowMs, change) -> {})),
                            new Peers(),
                            () -> mVms.stream().map(v -> v.mName).filter(this::isOther).toList(),
                            () -> new WatchPaths(true, 0, 1, List.of(), List.of()),
                            new RelayLog(new MetricRegistry()),
                            (nowMs, view, revision) -> onOwnRevision(view, revision),
                            new Random(mRandom.nextLong()));
        }

        /** Returns the versions of the configuration that were applied, in order. */
        List<Long> versions() {
            return mVersions;
        }

        private boolean isOther(String name) {
            return !name.equals(mName);
        }

        private void start() {
            mTime.every(mRandom.nextLong(TICK_MS), TICK_MS, () -> mViews.tick(mTime.nowMs()));
            mTime.every(mRandom.nextLong(GOSSIP_MS), GOSSIP_MS, this::gossip);
        }

        private void onOwnRevision(ViewKind view, long revision) {
            if (view == ViewKind.CONFIGURATION) {
                mAnnouncedRevision = revision;
            }
        }

        private void onConfig(Change change) {
            change.value().ifPresent(v -> mConfigVersion = Long.parseLong(v.strip()));
            mVersions.add(mConfigVersion);
        }

        private void gossip() {
            long revision = mAnnouncedRevision;
            IntStream.range(0, GOSSIP_FANOUT)
                    .mapToObj(i -> mVms.get(mRandom.nextInt(mVms.size())))
                    .filter(v -> v != this)
                    .forEach(v -> v.onPeerRevision(mName, revision));
        }

        private void onPeerRevision(String from, long revision) {
            boolean known = mPeerRevisions.getOrDefault(from, 0L) >= revision;
            mPeerRevisions.merge(from, revision, Math::max);
            if (!known && revision > mAnnouncedRevision) {
                mViews.onPeerRevision(
                        mTime.nowMs(), new VmId(from, 1), ViewKind.CONFIGURATION, revision);
            }
        }

        private void cutOff() {
            mCutOff = true;
            List<AtomicBoolean> open = List.copyOf(mOpenCalls);
            mOpenCalls.clear();
            open.forEach(o -> o.set(false));
        }

        /** The connection to the store, over this VM's link. */
        private final class Store implements Platform {
            @Override
            public void submit(
                    long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
                Runnable unused = submit(nowMs, call, AnswerProgress.IGNORED, done);
            }

            @Override
            public Runnable submit(
                    long nowMs,
                    PlatformCall call,
                    AnswerProgress progress,
                    BiConsumer<Long, PlatformReply> done) {
                mCalls++;
                if (mCutOff) {
                    mTime.at(nowMs + CONNECT_TIMEOUT_MS, () -> failCall(done));
                    return () -> {};
                }
                AtomicBoolean open = new AtomicBoolean(true);
                mOpenCalls.add(open);
                mStore.submit(nowMs, call, (t, reply) -> onStoreReply(open, reply, progress, done));
                failIfCutOff(open, done);
                return () -> open.set(false);
            }
        }

        /**
         * Fails a call if its VM is cut off while it waits, once the probes of the connection have
         * failed.
         */
        private void failIfCutOff(AtomicBoolean open, BiConsumer<Long, PlatformReply> done) {
            mTime.at(
                    mTime.nowMs() + TICK_MS,
                    () -> {
                        if (!open.get()) {
                            mTime.at(mTime.nowMs() + SILENCE_TIMEOUT_MS, () -> failCall(done));
                        } else if (mOpenCalls.contains(open)) {
                            failIfCutOff(open, done);
                        }
                    });
        }

        private void failCall(BiConsumer<Long, PlatformReply> done) {
            done.accept(mTime.nowMs(), new PlatformReply.Unavailable("cut off"));
        }

        private void onStoreReply(
                AtomicBoolean open,
                PlatformReply reply,
                AnswerProgress progress,
                BiConsumer<Long, PlatformReply> done) {
            if (!open.get()) {
                return;
            }
            long beginMs = mInward.freeMs();
            long endMs = mInward.pass(bytes(reply));
            for (long t = beginMs; t < endMs; t += PROGRESS_MS) {
                mTime.at(
                        t,
                        () -> {
                            if (open.get()) {
                                progress.onBytes(mTime.nowMs(), 1);
                            }
                        });
            }
            mTime.at(
                    endMs + DELAY_MS,
                    () -> {
                        if (open.get() && mOpenCalls.removeIf(o -> o == open)) {
                            done.accept(mTime.nowMs(), reply);
                        }
                    });
        }

        /** The messages to other VMs. */
        private final class Peers implements PeerNetwork {
            @Override
            public void send(String vmName, PeerMessage message) {
                throw new AssertionError("unexpected message");
            }

            @Override
            public void request(
                    long nowMs,
                    String vmName,
                    PeerMessage request,
                    long timeoutMs,
                    BiConsumer<Long, Either<Failure, PeerMessage>> done) {
                AtomicBoolean open = new AtomicBoolean(true);
                Vm peer = mVms.stream().filter(v -> v.mName.equals(vmName)).findFirst().get();
                mTime.at(nowMs + DELAY_MS, () -> peer.answer(Vm.this, request, open, done));
                mTime.at(
                        nowMs + timeoutMs,
                        () -> {
                            if (open.getAndSet(false)) {
                                done.accept(
                                        mTime.nowMs(),
                                        Either.left(
                                                Failure.of(
                                                        ErrorKind.DEADLINE_EXCEEDED,
                                                        "no reply in time")));
                            }
                        });
            }
        }

        private void answer(
                Vm asker,
                PeerMessage request,
                AtomicBoolean open,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mViews.viewExchange()
                    .onRequest(
                            mTime.nowMs(),
                            new VmId(asker.mName, 1),
                            (ViewChangesRequest) request,
                            reply -> {
                                int bytes = bytes((ViewChangesReply) reply);
                                mTime.at(
                                        mOutward.pass(bytes),
                                        () -> asker.onAnswerSent(bytes, reply, open, done));
                            });
        }

        private void onAnswerSent(
                int bytes,
                PeerMessage reply,
                AtomicBoolean open,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mTime.at(
                    mInward.pass(bytes) + DELAY_MS,
                    () -> {
                        if (open.getAndSet(false)) {
                            done.accept(mTime.nowMs(), Either.right(reply));
                        }
                    });
        }
    }

    private static int bytes(PlatformReply reply) {
        if (reply instanceof PlatformReply.Listed listed) {
            return HEAD_BYTES + listed.objects().stream().mapToInt(o -> o.value().length()).sum();
        }
        if (reply instanceof PlatformReply.Changed changed) {
            return HEAD_BYTES
                    + changed.changes().stream().mapToInt(c -> c.value().orElse("").length()).sum();
        }
        return HEAD_BYTES;
    }

    private static int bytes(ViewChangesReply reply) {
        return HEAD_BYTES + reply.objects().stream().mapToInt(o -> o.value().length()).sum();
    }
}
