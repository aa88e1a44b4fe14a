package org.hornbeampass.coordination.ratelimit;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.SendGate;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps the fleet's requests to each upstream within the rate limit that the upstream announced.
 *
 * <p>Each request sent to an upstream with a rate limit needs a permit, which one VM, the
 * upstream's home, issues for the whole fleet. Invariants: a permit is used once, and at most
 * {@link #PERMIT_VALIDITY_MS} after it was requested, as measured by the requesting VM, so no
 * clocks of different VMs are compared; a VM that can't reach the home sends nothing to the
 * upstream. Confined to one thread, on which the network must deliver replies.
 */
public final class RateLimiter implements SendGate {
    /** How long a permit is valid after it was requested, in milliseconds. */
    static final long PERMIT_VALIDITY_MS = 500;

    /**
     * The timeout of a request to a home, in milliseconds; a home normally answers within a few.
     */
    private static final long REQUEST_TIMEOUT_MS = 150;

    /** How long no permit is requested after the home did not answer, in milliseconds. */
    private static final long UNANSWERED_WAIT_MS = 500;

    /**
     * How long no permit is requested after the asked VM did not consider itself the home or no
     * home was known, in milliseconds.
     */
    private static final long NOT_HOME_WAIT_MS = 200;

    /** The shortest time for which no permit is requested after a denial, in milliseconds. */
    private static final long MIN_WAIT_MS = 20;

    /**
     * Blocks requests for permits for an upstream for a while.
     *
     * @param untilMs when the block ends, in milliseconds
     * @param perSecond the limit under which the permit was denied; the block ends when the limit
     *     changes
     */
    private record Denial(long untilMs, OptionalDouble perSecond) {}

    private final SignalTable mSignals;
    private final Supplier<SignalExchange> mExchange;
    private final PeerNetwork mPeers;
    private final PermitHomeResolver mHomes;
    private final PermitIssuer mIssuer;
    private final PermitCounts mCounts = new PermitCounts();
    private final Map<UpstreamIncarnation, Denial> mDenials = new HashMap<>();
    private final Map<UpstreamIncarnation, Deque<SendPermit>> mUnused = new HashMap<>();

    /**
     * Creates a limiter without permits.
     *
     * @param signals the known signals of upstreams, with their rate limits
     * @param exchange returns the exchange that receives signals from other VMs; called only once
     *     there is a limit
     * @param peers sends messages to other VMs
     * @param homes determines the home of each upstream
     */
    public RateLimiter(
            SignalTable signals,
            Supplier<SignalExchange> exchange,
            PeerNetwork peers,
            PermitHomeResolver homes) {
        mSignals = signals;
        mExchange = exchange;
        mPeers = peers;
        mHomes = homes;
        mIssuer = new PermitIssuer(signals);
    }

    private OptionalDouble limit(UpstreamIncarnation upstream) {
        if (mSignals.isEmpty()) {
            return OptionalDouble.empty();
        }
        return mSignals.get(upstream).rateLimit().perSecond();
    }

    /** Returns whether each request sent to an upstream needs a permit. */
    public boolean isLimited(UpstreamIncarnation upstream) {
        return limit(upstream).isPresent();
    }

    @Override
    public long waitMs(long nowMs, UpstreamIncarnation upstream) {
        if (mDenials.isEmpty()) {
            return 0;
        }
        Denial denial = mDenials.get(upstream);
        boolean denialOver =
                denial == null
                        || nowMs >= denial.untilMs()
                        || !denial.perSecond().equals(limit(upstream));
        return denialOver || mUnused.containsKey(upstream) ? 0 : denial.untilMs() - nowMs;
    }

    /**
     * Requests a permit to send one request to an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the upstream
     * @param done called at once if the upstream has no limit, an unused permit is available, or no
     *     message to another VM is needed; otherwise when the home has answered or the request has
     *     timed out
     */
    public void acquire(long nowMs, UpstreamIncarnation upstream, PermitListener done) {
        if (!isLimited(upstream)) {
            done.onAnswer(nowMs, Optional.of(SendPermit.unlimited(upstream)));
            return;
        }
        Optional<SendPermit> unused = takeUnused(nowMs, upstream);
        if (unused.isPresent()) {
            done.onAnswer(nowMs, unused);
            return;
        }
        Optional<String> home = mHomes.homeOf(upstream.upstream());
        if (home.isEmpty()) {
            deny(nowMs, upstream, NOT_HOME_WAIT_MS, done);
            return;
        }
        if (home.get().equals(mHomes.self())) {
            onPermitReply(nowMs, nowMs, upstream, mIssuer.issue(nowMs, upstream), done);
            return;
        }
        mPeers.request(
                nowMs,
                home.get(),
                new PermitRequest(SignalReport.Item.of(nowMs, upstream, mSignals.get(upstream))),
                REQUEST_TIMEOUT_MS,
                (t, reply) -> onReply(t, nowMs, upstream, reply, done));
    }

    private void onReply(
            long nowMs,
            long requestedMs,
            UpstreamIncarnation upstream,
            Either<Failure, PeerMessage> reply,
            PermitListener done) {
        if (reply.isRight() && reply.get() instanceof PermitReply answer) {
            onPermitReply(nowMs, requestedMs, upstream, answer, done);
            return;
        }
        mCounts.onUnanswered();
        deny(nowMs, upstream, UNANSWERED_WAIT_MS, done);
    }

    private void onPermitReply(
            long nowMs,
            long requestedMs,
            UpstreamIncarnation upstream,
            PermitReply answer,
            PermitListener done) {
        if (!answer.granted()) {
            mCounts.onDenied();
            deny(nowMs, upstream, answer.retryAfterMs(), done);
            return;
        }
        mCounts.onGranted();
        done.onAnswer(
                nowMs, Optional.of(new SendPermit(upstream, requestedMs + PERMIT_VALIDITY_MS)));
    }

    private void deny(long nowMs, UpstreamIncarnation upstream, long waitMs, PermitListener done) {
        long untilMs = nowMs + Math.max(MIN_WAIT_MS, waitMs);
        mDenials.put(upstream, new Denial(untilMs, limit(upstream)));
        done.onAnswer(nowMs, Optional.empty());
    }

    private Optional<SendPermit> takeUnused(long nowMs, UpstreamIncarnation upstream) {
        removeExpired(nowMs, upstream);
        Deque<SendPermit> unused = mUnused.get(upstream);
        if (unused == null) {
            return Optional.empty();
        }
        SendPermit permit = unused.removeFirst();
        if (unused.isEmpty()) {
            mUnused.remove(upstream);
        }
        return Optional.of(permit);
    }

    private void removeExpired(long nowMs, UpstreamIncarnation upstream) {
        Deque<SendPermit> unused = mUnused.getOrDefault(upstream, new ArrayDeque<>());
        Iterator<SendPermit> iterator = unused.iterator();
        while (iterator.hasNext()) {
            if (!iterator.next().valid(nowMs)) {
                iterator.remove();
                mCounts.onExpired();
            }
        }
        if (unused.isEmpty()) {
            mUnused.remove(upstream);
        }
    }

    /**
     * Uses up a permit right before the request is sent.
     *
     * @return whether the request may be sent; false if the permit has expired or the upstream has
     *     announced its first limit since
     */
    public boolean redeem(long nowMs, SendPermit permit) {
        if (!isLimited(permit.upstream())) {
            return true;
        }
        boolean redeemed = permit.limited() && permit.valid(nowMs);
        if (redeemed) {
            mCounts.onUsed();
        } else if (permit.limited()) {
            mCounts.onExpired();
        }
        return redeemed;
    }

    /** Returns an unused permit, so that another request of this VM can use it. */
    public void returnUnused(long nowMs, SendPermit permit) {
        if (permit.limited() && permit.valid(nowMs)) {
            mUnused.computeIfAbsent(permit.upstream(), u -> new ArrayDeque<>()).add(permit);
        } else if (permit.limited()) {
            mCounts.onExpired();
        }
    }

    /** Answers another VM that considers this VM the home. */
    public void onRequest(
            long nowMs, VmId from, PermitRequest request, Consumer<PeerMessage> reply) {
        UpstreamIncarnation upstream = request.known().upstream();
        mExchange.get().onItem(nowMs, from, request.known());
        boolean home = mHomes.homeOf(upstream.upstream()).filter(mHomes.self()::equals).isPresent();
        reply.accept(home ? mIssuer.issue(nowMs, upstream) : PermitReply.denied(NOT_HOME_WAIT_MS));
    }

    /** Removes expired permits, denials and buckets. */
    public void tick(long nowMs) {
        mIssuer.tick(nowMs);
        mDenials.values().removeIf(d -> nowMs >= d.untilMs());
        Map.copyOf(mUnused).keySet().forEach(u -> removeExpired(nowMs, u));
    }

    /** Returns the outcomes of the permits that this VM requested. */
    public PermitCounts counts() {
        return mCounts;
    }
}
