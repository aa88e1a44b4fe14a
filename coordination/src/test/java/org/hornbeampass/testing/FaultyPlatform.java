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
 * A platform that can be slow, lose requests and replies and have outages, deterministic for a
 * given seed.
 *
 * <p>A call without a reply within the timeout is answered {@code Unavailable}; its write may have
 * taken effect already or may take effect later, since a delayed request is still executed. Not
 * thread-safe: tests run on one thread.
 */
public final class FaultyPlatform {
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final VirtualTime mTime;
    private final FakeVms mVms;
    private final SplittableRandom mRandom;
    private final Map<PlatformCall.Kind, Long> mCalls = new EnumMap<>(PlatformCall.Kind.class);
    private final Set<VmId> mCutVms = new HashSet<>();

    private UnaryOperator<PlatformCall> mRewrite = UnaryOperator.identity();
    private double mRequestLossRate;
    private double mReplyLossRate;
    private long mMinLatencyMs = 1;
    private long mMaxLatencyMs = 3;
    private long mTimeoutMs = 1_000;
    private boolean mOutage;
    private long mWrittenBytes;
    private long mLargestValue;

    /** Creates a platform with a latency of a few milliseconds and without faults. */
    public FaultyPlatform(VirtualTime time, FakeVms vms, long seed) {
        mTime = time;
        mVms = vms;
        mRandom = new SplittableRandom(seed);
    }

    /** Sets the probabilities that a request and that a reply is lost, each from 0 to 1. */
    public void setLossRates(double requests, double replies) {
        mRequestLossRate = requests;
        mReplyLossRate = replies;
    }

    /**
     * Sets the range of the one-way latency in milliseconds; above the timeout, writes are executed
     * after their call has timed out.
     */
    public void setLatency(long minLegMs, long maxLegMs) {
        mMinLatencyMs = minLegMs;
        mMaxLatencyMs = maxLegMs;
    }

    /** Sets the time without a reply after which a call is answered {@code Unavailable}. */
    public void setTimeout(long timeoutMs) {
        mTimeoutMs = timeoutMs;
    }

    /** Sets the function that replaces each call before it is executed. */
    public void setCallRewrite(UnaryOperator<PlatformCall> rewrite) {
        mRewrite = rewrite;
    }

    /** Starts or ends an outage, during which no call is executed. */
    public void setOutage(boolean outage) {
        mOutage = outage;
    }

    /** Cuts the connection of one VM to the platform. */
    public void cut(VmId vm) {
        mCutVms.add(vm);
    }

    /** Restores the connection of one VM to the platform. */
    public void heal(VmId vm) {
        mCutVms.remove(vm);
    }

    /** Returns the underlying store, without faults, for assertions. */
    public MemoryPlatform store() {
        return mStore;
    }

    /** Returns the number of calls of a kind that were executed. */
    public long calls(PlatformCall.Kind kind) {
        return mCalls.getOrDefault(kind, 0L);
    }

    /** Returns the total size of the values written, in bytes. */
    public long writtenBytes() {
        return mWrittenBytes;
    }

    /** Returns the size of the largest value written, in bytes. */
    public long largestValue() {
        return mLargestValue;
    }

    /** Returns the platform as seen by one VM. */
    public Platform connect(VmId vm) {
        return (nowMs, call, done) -> submit(vm, call, done);
    }

    /** A call that waits for its reply, which is delivered once. */
    private final class PendingCall {
        private final VmId mVm;
        private final BiConsumer<Long, PlatformReply> mDone;
        private boolean mAnswered;

        private PendingCall(VmId vm, BiConsumer<Long, PlatformReply> done) {
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
        PendingCall pending = new PendingCall(vm, done);
        long timeoutMs = mTimeoutMs;
        if (call instanceof PlatformCall.Watch watch) {
            timeoutMs += watch.maxWait().toMillis();
        }
        mTime.after(timeoutMs, t -> pending.answer(new PlatformReply.Unavailable("no reply")));
        if (mCutVms.contains(vm) || mRandom.nextDouble() < mRequestLossRate) {
            return;
        }
        mTime.after(randomLatencyMs(), t -> execute(vm, call, pending));
    }

    private void execute(VmId vm, PlatformCall call, PendingCall pending) {
        if (mOutage) {
            return;
        }
        recordCall(call);
        if (call instanceof PlatformCall.Watch watch) {
            mTime.after(watch.maxWait().toMillis(), mStore::expireWatches);
        }
        mStore.submit(
                mTime.nowMs(),
                mRewrite.apply(call),
                (atMs, reply) -> {
                    if (!mCutVms.contains(vm) && mRandom.nextDouble() >= mReplyLossRate) {
                        mTime.after(randomLatencyMs(), t -> pending.answer(reply));
                    }
                });
    }

    private void recordCall(PlatformCall call) {
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

    private long randomLatencyMs() {
        return mRandom.nextLong(mMinLatencyMs, mMaxLatencyMs + 1);
    }
}
