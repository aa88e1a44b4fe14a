package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.admission.RoomQueue;
import org.hornbeampass.coordination.admission.RoomRefusal;
import org.hornbeampass.coordination.admission.RoomRequest;
import org.hornbeampass.coordination.limit.AdmissionRequest;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The place of one request at its service, where requests are admitted by the operator's order.
 *
 * <p>Invariants: a place that was taken is released once; a request that ended no longer waits. All
 * waits of a request together stay within its maximum. Confined to one event loop.
 */
final class RoomPlace implements RoomQueue.Listener {
    /** The share of an organisation among others; configurations state no weights. */
    private static final int WEIGHT = 1;

    /** Stands for the callers of routes that need no key. */
    private static final String NOBODY = "nobody";

    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final CrashHistory mCrashes;
    private final Consumer<Failure> mOnRefused;
    private LongConsumer mOnEntered = t -> {};
    private Optional<Long> mWaiting = Optional.empty();
    private boolean mHeld;
    private boolean mUpstreamWasFull;
    private long mEnteredMs;
    private long mWaitedMs;

    RoomPlace(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            CrashHistory crashes,
            Consumer<Failure> onRefused) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mCrashes = crashes;
        mOnRefused = onRefused;
    }

    /** Runs an action once the request has a place: at once where admission is off. */
    void acquire(long nowMs, LongConsumer action) {
        if (mHeld || mContext.roomAdmission().isEmpty()) {
            action.accept(nowMs);
            return;
        }
        if (mWaiting.isPresent()) {
            return;
        }
        mOnEntered = action;
        RoomRequest request = request(nowMs);
        mWaiting = Optional.of(-1L);
        long number = queue().submit(nowMs, request, this);
        if (mWaiting.isPresent()) {
            mWaiting = Optional.of(number);
            mContext.roomAdmission().get().onWaiting();
            mCall.timer(request.maxWaitMs(), t -> queue().tick(t));
        }
    }

    private RoomQueue queue() {
        return mContext.roomAdmission().orElseThrow().queue(mPlan.service());
    }

    private RoomRequest request(long nowMs) {
        double share = mContext.roomAdmission().orElseThrow().settings().maxWaitShare();
        long maxWaitMs = Math.max(0, (long) (share * mPlan.route().objectiveMs()) - mWaitedMs);
        AdmissionRequest admission =
                new AdmissionRequest(
                        new OrganisationId(mPlan.organisation().orElse(NOBODY)),
                        9 - mPlan.urgency(),
                        WEIGHT,
                        Math.max(1, mPlan.head().prompt().maxTokens()),
                        new Deadline(mPlan.deadlineMs()));
        return new RoomRequest(admission, Math.min(maxWaitMs, leftMs(nowMs)), this::identity);
    }

    private long leftMs(long nowMs) {
        return Math.max(0, mPlan.deadlineMs() - nowMs);
    }

    private long identity() {
        SuspectDigest digest = mCrashes.digest();
        return digest.scope() ^ digest.content();
    }

    @Override
    public void onEntered(long nowMs, long waitedMs) {
        boolean waited = mWaiting.filter(n -> n >= 0).isPresent();
        mWaiting = Optional.empty();
        mHeld = true;
        mEnteredMs = nowMs;
        mWaitedMs += waitedMs;
        if (waited) {
            logWaited(nowMs, "entered", waitedMs);
        }
        mOnEntered.accept(nowMs);
    }

    @Override
    public void onRefused(long nowMs, RoomRefusal refusal) {
        mWaiting = Optional.empty();
        mWaitedMs += refusal.waitedMs();
        if (refusal.waitedMs() > 0) {
            logWaited(nowMs, "refused", refusal.waitedMs());
        }
        mOnRefused.accept(toFailure(nowMs, refusal));
    }

    private Failure toFailure(long nowMs, RoomRefusal refusal) {
        mContext.log()
                .logNoRoom(
                        nowMs,
                        mPlan.head().id(),
                        mPlan.urgency(),
                        new LogFields()
                                .add("service", mPlan.service().name())
                                .add("urgency", mPlan.urgency())
                                .add("reason", refusal.reason().name())
                                .add("waited_ms", refusal.waitedMs())
                                .add("held", refusal.held())
                                .add("places", refusal.places())
                                .add("waiting", refusal.waiting())
                                .add("retry_after_ms", refusal.retryAfterMs()));
        return Refusals.noRoom(refusal.retryAfterMs());
    }

    private void logWaited(long nowMs, String outcome, long waitedMs) {
        mContext.log()
                .logWaited(
                        nowMs,
                        mPlan.head().id(),
                        waitedMs,
                        new LogFields()
                                .add("service", mPlan.service().name())
                                .add("urgency", mPlan.urgency())
                                .add("waited_ms", waitedMs)
                                .add("outcome", outcome));
    }

    /** Releases the place of a request whose upstream had no capacity for it. */
    void onUpstreamFull(long nowMs) {
        mUpstreamWasFull = true;
        if (mHeld) {
            mHeld = false;
            queue().releaseFull(nowMs);
        }
    }

    /** Releases the place, or leaves the queue. */
    void release(long nowMs) {
        mWaiting.ifPresent(n -> queue().abandon(n));
        mWaiting = Optional.empty();
        if (mHeld) {
            mHeld = false;
            queue().release(nowMs, nowMs - mEnteredMs);
        }
    }

    /** Returns the failure of a request that no upstream could accept; it must hold no place. */
    Failure refusal(long nowMs, String why) {
        return mUpstreamWasFull && mContext.roomAdmission().isPresent()
                ? toFailure(nowMs, queue().refusalWhenFull(nowMs, request(nowMs)))
                : Refusals.noUpstream(why);
    }
}
