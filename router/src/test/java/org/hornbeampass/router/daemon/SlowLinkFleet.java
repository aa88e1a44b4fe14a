package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import io.vavr.control.Either;

import org.hornbeampass.coordination.news.ViewChangesReply;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.AnswerProgress;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
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
 * VMs that follow a store over links on which bytes take time, in virtual time.
 *
 * <p>Whatever comes to a VM, from the store or from another VM, comes one after another over its
 * inward link; what it tells other VMs goes over its outward link first. The store's own link is
 * wide. A VM that is cut off from the store hears nothing more on calls that wait, notices after
 * {@link #SILENCE_MS}, and can't connect. Confined to one thread.
 */
final class SlowLinkFleet {
    static final String CONFIG = "config/main";

    /** What the smallest links of the users' VMs carry: 7 Mbit/s. */
    static final double SLOW_BYTES_PER_MS = 875;

    private static final double WIDE_BYTES_PER_MS = 17_500;
    private static final int HEAD_BYTES = 200;
    private static final long DELAY_MS = 2;
    private static final long SILENCE_MS = 3_000;
    private static final long CONNECT_TIMEOUT_MS = 500;
    private static final long TICK_MS = 100;
    private static final long PROGRESS_MS = 50;

    /** How often a VM tells others how new its views are, as probes and gossip do. */
    private static final long GOSSIP_MS = 500;

    private static final int GOSSIP_FANOUT = 2;

    private final VirtualTime mTime = new VirtualTime();
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Random mRandom;
    private final List<Vm> mVms = new ArrayList<>();

    /**
     * Starts the VMs.
     *
     * @param wide how many have links of 140 Mbit/s
     * @param thin how many have links of {@link #SLOW_BYTES_PER_MS}
     */
    SlowLinkFleet(int wide, int thin, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < wide + thin; i++) {
            mVms.add(new Vm("vm-" + i, i < wide ? WIDE_BYTES_PER_MS : SLOW_BYTES_PER_MS));
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

    /** Writes a configuration's version, of a size in bytes, at a time. */
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

    /** Cuts VMs off from the store for a time. */
    void cut(List<Vm> vms, long fromMs, long untilMs) {
        mTime.at(fromMs, () -> vms.forEach(Vm::cutOff));
        mTime.at(untilMs, () -> vms.forEach(v -> v.mCut = false));
    }

    /** Returns which VMs have an older version in force than a given one. */
    List<String> behind(long version) {
        return mVms.stream().filter(v -> v.mVersion < version).map(v -> v.mName).toList();
    }

    /** Returns how many bytes came to all VMs so far. */
    long bytes() {
        return mVms.stream().mapToLong(v -> v.mInward.mBytes).sum();
    }

    /** Returns how many calls all VMs have made to the store so far. */
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

        /** Returns when the next message may begin. */
        long freeMs() {
            return Math.max(mFreeMs, mTime.nowMs());
        }

        /** Returns when the last byte of a message has passed. */
        long pass(int bytes) {
            mBytes += bytes;
            mFreeMs = freeMs() + Math.round(bytes / mBytesPerMs);
            return mFreeMs;
        }
    }

    /** One VM: the daemon's own views, behind links. */
    final class Vm {
        private final String mName;
        private final Link mInward;
        private final Link mOutward;
        private final StoreViews mViews;
        private final List<AtomicBoolean> mOpenCalls = new ArrayList<>();
        private final Map<String, Long> mHeard = new HashMap<>();
        private final List<Long> mVersions = new ArrayList<>();
        private long mAnnounced;
        private long mVersion;
        private int mCalls;
        private boolean mCut;

        Vm(String name, double bytesPerMs) {
            mName = name;
            mInward = new Link(bytesPerMs);
            mOutward = new Link(bytesPerMs);
            mViews =
                    new StoreViews(
                            new Store(),
                            "config/",
                            "upstreams/",
                            new Peers(),
                            () -> mVms.stream().map(v -> v.mName).filter(this::isOther).toList(),
                            new RelayLog(new MetricRegistry()),
                            (nowMs, revision) -> mAnnounced = revision,
                            (nowMs, revision) -> {},
                            new Random(mRandom.nextLong()),
                            (nowMs, change) -> onConfig(change),
                            (nowMs, change) -> {});
        }

        /** Returns the versions that were put in force, in order. */
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

        private void onConfig(Change change) {
            change.value().ifPresent(v -> mVersion = Long.parseLong(v.strip()));
            mVersions.add(mVersion);
        }

        private void gossip() {
            long revision = mAnnounced;
            IntStream.range(0, GOSSIP_FANOUT)
                    .mapToObj(i -> mVms.get(mRandom.nextInt(mVms.size())))
                    .filter(v -> v != this)
                    .forEach(v -> v.hear(mName, revision));
        }

        private void hear(String from, long revision) {
            boolean known = mHeard.getOrDefault(from, 0L) >= revision;
            mHeard.merge(from, revision, Math::max);
            if (!known && revision > mAnnounced) {
                mViews.onPeerRevision(mTime.nowMs(), new VmId(from, 1), revision);
            }
        }

        private void cutOff() {
            mCut = true;
            List<AtomicBoolean> open = List.copyOf(mOpenCalls);
            mOpenCalls.clear();
            open.forEach(o -> o.set(false));
        }

        /** The way to the store, over this VM's link. */
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
                if (mCut) {
                    mTime.at(nowMs + CONNECT_TIMEOUT_MS, () -> lost(done));
                    return () -> {};
                }
                AtomicBoolean open = new AtomicBoolean(true);
                mOpenCalls.add(open);
                mStore.submit(nowMs, call, (t, reply) -> answered(open, reply, progress, done));
                watchForSilence(open, done);
                return () -> open.set(false);
            }
        }

        /** Fails a call whose VM was cut off meanwhile, once probes of the connection failed. */
        private void watchForSilence(AtomicBoolean open, BiConsumer<Long, PlatformReply> done) {
            mTime.at(
                    mTime.nowMs() + TICK_MS,
                    () -> {
                        if (!open.get()) {
                            mTime.at(mTime.nowMs() + SILENCE_MS, () -> lost(done));
                        } else if (mOpenCalls.contains(open)) {
                            watchForSilence(open, done);
                        }
                    });
        }

        private void lost(BiConsumer<Long, PlatformReply> done) {
            done.accept(mTime.nowMs(), new PlatformReply.Unavailable("cut off"));
        }

        private void answered(
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

        /** What goes to other VMs. */
        private final class Peers implements PeerNetwork {
            @Override
            public void send(String vmName, PeerMessage message) {
                throw new AssertionError("not expected");
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
                                                        ErrorKind.DEADLINE_EXCEEDED, "too late")));
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
                                        () -> asker.take(bytes, reply, open, done));
                            });
        }

        private void take(
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
