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
 * Keeps the fleet's requests to each upstream within the rate that the upstream has named.
 *
 * <p>Each send to an upstream with a rate limit needs a permit, which one VM, the upstream's home,
 * gives out for all. Invariants: a permit is used once, and not later than {@link
 * #PERMIT_VALIDITY_MS} after it was asked for, so that no clock is compared with another VM's; a VM
 * that reaches no home sends nothing there. Confined to one thread: the network must reply on it.
 */
public final class RateLimiter implements SendGate {
    /** For how long a permit is valid after it was asked for, in milliseconds. */
    static final long PERMIT_VALIDITY_MS = 500;

    /** How long a home may take to answer, in milliseconds; it answers within a few. */
    private static final long REQUEST_TIMEOUT_MS = 150;

    /** For how long a home that did not answer is not asked again, in milliseconds. */
    private static final long UNANSWERED_WAIT_MS = 500;

    /** For how long another VM is not asked that is not the home by its own view. */
    private static final long NOT_HOME_WAIT_MS = 200;

    /** For how long a home is not asked again after it denied a permit, at the least. */
    private static final long MIN_WAIT_MS = 20;

    /**
     * Why an upstream is not asked for.
     *
     * @param untilMs until when, in milliseconds
     * @param perSecond the limit under which the permit was denied; a new one may allow more
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
     * Makes a limiter without permits.
     *
     * @param signals what is known of rate limits
     * @param exchange takes what other VMs know of them; asked for once there is a limit
     * @param peers sends messages to other VMs
     * @param homes tells who gives out permits
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

    /** Returns whether each send to an upstream needs a permit. */
    public boolean isLimited(UpstreamIncarnation upstream) {
        return limit(upstream).isPresent();
    }

    @Override
    public long waitMs(long nowMs, UpstreamIncarnation upstream) {
        if (mDenials.isEmpty()) {
            return 0;
        }
        Denial denial = mDenials.get(upstream);
        boolean open =
                denial == null
                        || nowMs >= denial.untilMs()
                        || !denial.perSecond().equals(limit(upstream));
        return open || mUnused.containsKey(upstream) ? 0 : denial.untilMs() - nowMs;
    }

    /**
     * Asks for the right to send one request to an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the upstream
     * @param done told at once where the upstream has no limit or this VM is its home; else once
     *     the home has answered, or did not in time
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
            long askedMs,
            UpstreamIncarnation upstream,
            Either<Failure, PeerMessage> reply,
            PermitListener done) {
        if (reply.isRight() && reply.get() instanceof PermitReply answer) {
            onPermitReply(nowMs, askedMs, upstream, answer, done);
            return;
        }
        mCounts.onUnanswered();
        deny(nowMs, upstream, UNANSWERED_WAIT_MS, done);
    }

    private void onPermitReply(
            long nowMs,
            long askedMs,
            UpstreamIncarnation upstream,
            PermitReply answer,
            PermitListener done) {
        if (!answer.granted()) {
            mCounts.onDenied();
            deny(nowMs, upstream, answer.retryAfterMs(), done);
            return;
        }
        mCounts.onGranted();
        done.onAnswer(nowMs, Optional.of(new SendPermit(upstream, askedMs + PERMIT_VALIDITY_MS)));
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
        Iterator<SendPermit> each = unused.iterator();
        while (each.hasNext()) {
            if (!each.next().valid(nowMs)) {
                each.remove();
                mCounts.onExpired();
            }
        }
        if (unused.isEmpty()) {
            mUnused.remove(upstream);
        }
    }

    /**
     * Uses a permit up, right before the request is sent.
     *
     * @return whether the request may be sent; not where the permit has expired, or the upstream
     *     has named a limit since
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

    /** Takes a permit back that was not used, for another request of this VM. */
    public void returnUnused(long nowMs, SendPermit permit) {
        if (permit.limited() && permit.valid(nowMs)) {
            mUnused.computeIfAbsent(permit.upstream(), u -> new ArrayDeque<>()).add(permit);
        } else if (permit.limited()) {
            mCounts.onExpired();
        }
    }

    /** Answers another VM, which takes this one for the home. */
    public void onRequest(
            long nowMs, VmId from, PermitRequest request, Consumer<PeerMessage> reply) {
        UpstreamIncarnation upstream = request.known().upstream();
        mExchange.get().onItem(nowMs, from, request.known());
        boolean home = mHomes.homeOf(upstream.upstream()).filter(mHomes.self()::equals).isPresent();
        reply.accept(home ? mIssuer.issue(nowMs, upstream) : PermitReply.denied(NOT_HOME_WAIT_MS));
    }

    /** Forgets what is over. */
    public void tick(long nowMs) {
        mIssuer.tick(nowMs);
        mDenials.values().removeIf(d -> nowMs >= d.untilMs());
        Map.copyOf(mUnused).keySet().forEach(u -> removeExpired(nowMs, u));
    }

    /** Returns what became of the permits for which this VM asked. */
    public PermitCounts counts() {
        return mCounts;
    }
}
