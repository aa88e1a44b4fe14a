package org.hornbeampass.testing;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.VmId;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;

/**
 * A platform that is slow, loses requests and replies, and has outages, by a seed.
 *
 * <p>A call that gets no reply within the timeout is answered {@code Unavailable}; its write may
 * have taken effect before, or may take effect later, since a slow request still arrives. Not
 * thread-safe: tests run on one thread.
 */
public final class FaultyPlatform {
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final VirtualTime mTime;
    private final FakeVms mVms;
    private final SplittableRandom mRandom;
    private final Map<PlatformCall.Kind, Long> mCalls = new EnumMap<>(PlatformCall.Kind.class);
    private final Set<VmId> mCut = new HashSet<>();

    private UnaryOperator<PlatformCall> mRewrite = UnaryOperator.identity();
    private double mLoseRequest;
    private double mLoseReply;
    private long mMinLegMs = 1;
    private long mMaxLegMs = 3;
    private long mTimeoutMs = 1_000;
    private boolean mOutage;
    private long mWrittenBytes;
    private long mLargestValue;

    /** Creates a platform that answers within a few milliseconds and loses nothing. */
    public FaultyPlatform(VirtualTime time, FakeVms vms, long seed) {
        mTime = time;
        mVms = vms;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Sets how often a request is lost on its way, and a reply on its way back, each from 0 to 1.
     */
    public void setLossRates(double requests, double replies) {
        mLoseRequest = requests;
        mLoseReply = replies;
    }

    /** Sets how long one way takes, in milliseconds; above the timeout, writes land late. */
    public void setLatency(long minLegMs, long maxLegMs) {
        mMinLegMs = minLegMs;
        mMaxLegMs = maxLegMs;
    }

    /** Sets after which time without a reply a caller is told {@code Unavailable}. */
    public void setTimeout(long timeoutMs) {
        mTimeoutMs = timeoutMs;
    }

    /** Sets what is carried out in place of each call. */
    public void setCallRewrite(UnaryOperator<PlatformCall> rewrite) {
        mRewrite = rewrite;
    }

    /** Starts or ends an outage, in which nothing that arrives is carried out. */
    public void setOutage(boolean outage) {
        mOutage = outage;
    }

    /** Cuts one VM off from the platform. */
    public void cut(VmId vm) {
        mCut.add(vm);
    }

    /** Ends a cut. */
    public void heal(VmId vm) {
        mCut.remove(vm);
    }

    /** Returns what is stored, without faults, for checks. */
    public MemoryPlatform store() {
        return mStore;
    }

    /** Returns how many calls of a kind were carried out. */
    public long calls(PlatformCall.Kind kind) {
        return mCalls.getOrDefault(kind, 0L);
    }

    /** Returns how many bytes were sent in values. */
    public long writtenBytes() {
        return mWrittenBytes;
    }

    /** Returns the size of the largest value sent, in bytes. */
    public long largestValue() {
        return mLargestValue;
    }

    /** Returns the platform as one VM reaches it. */
    public Platform connect(VmId vm) {
        return (nowMs, call, done) -> submit(vm, call, done);
    }

    /** One caller's wait for a reply: answered once. */
    private final class Pending {
        private final VmId mVm;
        private final BiConsumer<Long, PlatformReply> mDone;
        private boolean mAnswered;

        private Pending(VmId vm, BiConsumer<Long, PlatformReply> done) {
            mVm = vm;
            mDone = done;
        }

        private void answer(PlatformReply reply) {
            mVms.deliver(
                    mVm,
                    atMs -> {
                        if (!mAnswered) {
                            mAnswered = true;
                            mDone.accept(atMs, reply);
                        }
                    });
        }
    }

    private void submit(VmId vm, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        Pending pending = new Pending(vm, done);
        long timeoutMs = mTimeoutMs;
        if (call instanceof PlatformCall.Watch watch) {
            timeoutMs += watch.maxWait().toMillis();
        }
        mTime.after(timeoutMs, t -> pending.answer(new PlatformReply.Unavailable("no reply")));
        if (mCut.contains(vm) || mRandom.nextDouble() < mLoseRequest) {
            return;
        }
        mTime.after(leg(), t -> arrive(vm, call, pending));
    }

    private void arrive(VmId vm, PlatformCall call, Pending pending) {
        if (mOutage) {
            return;
        }
        count(call);
        if (call instanceof PlatformCall.Watch watch) {
            mTime.after(watch.maxWait().toMillis(), mStore::expireWatches);
        }
        mStore.submit(
                mTime.nowMs(),
                mRewrite.apply(call),
                (atMs, reply) -> {
                    if (!mCut.contains(vm) && mRandom.nextDouble() >= mLoseReply) {
                        mTime.after(leg(), t -> pending.answer(reply));
                    }
                });
    }

    private void count(PlatformCall call) {
        mCalls.merge(call.kind(), 1L, Long::sum);
        String value = "";
        if (call instanceof PlatformCall.Create create) {
            value = create.value();
        } else if (call instanceof PlatformCall.Update update) {
            value = update.value();
        }
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        mWrittenBytes += bytes;
        mLargestValue = Math.max(mLargestValue, bytes);
    }

    private long leg() {
        return mRandom.nextLong(mMinLegMs, mMaxLegMs + 1);
    }
}
