package org.hornbeampass.coordination.ratelimit;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.SendGate;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.Failure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Gets the permits of one kind that this VM needs for its requests.
 *
 * <p>Invariants: a permit is used once, and only for a short time after it was requested, as
 * measured by the requesting VM, so no clocks of different VMs are compared; a VM that can't reach
 * an issuer sends nothing to the upstream. Confined to one thread, on which the network must
 * deliver replies.
 */
public final class RateLimiter implements SendGate {
    /** The timeout of a request to an issuer, in milliseconds; it normally answers within a few. */
    private static final long REQUEST_TIMEOUT_MS = 150;

    /** How long no permit is requested after the issuer did not answer, in milliseconds. */
    private static final long UNANSWERED_WAIT_MS = 500;

    /** How long no permit is requested after no issuer was known, in milliseconds. */
    private static final long NO_ISSUER_WAIT_MS = 200;

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

    private final PermitPolicy mPolicy;
    private final PeerNetwork mPeers;
    private final String mSelf;
    private final PermitCounts mCounts = new PermitCounts();
    private final Map<UpstreamIncarnation, Denial> mDenials = new HashMap<>();
    private final Map<UpstreamIncarnation, Deque<SendPermit>> mUnused = new HashMap<>();

    /**
     * Creates a limiter without permits.
     *
     * @param policy decides which upstreams need permits and who issues them
     * @param peers sends messages to other VMs
     * @param self this VM's name
     */
    public RateLimiter(PermitPolicy policy, PeerNetwork peers, String self) {
        mPolicy = policy;
        mPeers = peers;
        mSelf = self;
    }

    /** Returns the kind of its permits. */
    PermitKind kind() {
        return mPolicy.kind();
    }

    /** Returns whether each request sent to an upstream needs a permit. */
    boolean isLimited(long nowMs, UpstreamIncarnation upstream) {
        return mPolicy.perSecond(nowMs, upstream).isPresent();
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
                        || !denial.perSecond().equals(mPolicy.perSecond(nowMs, upstream));
        return denialOver || mUnused.containsKey(upstream) ? 0 : denial.untilMs() - nowMs;
    }

    /**
     * Requests a permit to send one request to an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the upstream
     * @param done called at once if an unused permit is available or no message to another VM is
     *     needed; otherwise when the issuer has answered or the request has timed out
     */
    void acquire(long nowMs, UpstreamIncarnation upstream, PermitListener done) {
        Optional<SendPermit> unused = takeUnused(nowMs, upstream);
        if (unused.isPresent()) {
            done.onAnswer(nowMs, unused);
            return;
        }
        Optional<String> issuer = mPolicy.issuer(upstream);
        if (issuer.isEmpty()) {
            deny(nowMs, upstream, NO_ISSUER_WAIT_MS, done);
            return;
        }
        if (issuer.get().equals(mSelf)) {
            onPermitReply(nowMs, nowMs, upstream, mPolicy.issue(nowMs, upstream), done);
            return;
        }
        mPeers.request(
                nowMs,
                issuer.get(),
                mPolicy.request(nowMs, upstream),
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
                nowMs,
                Optional.of(new SendPermit(upstream, kind(), requestedMs + kind().validityMs())));
    }

    private void deny(long nowMs, UpstreamIncarnation upstream, long waitMs, PermitListener done) {
        long untilMs = nowMs + Math.max(MIN_WAIT_MS, waitMs);
        mDenials.put(upstream, new Denial(untilMs, mPolicy.perSecond(nowMs, upstream)));
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

    /** Uses up a permit of this kind; returns whether it was still valid. */
    boolean redeem(long nowMs, SendPermit permit) {
        if (permit.valid(nowMs)) {
            mCounts.onUsed();
            return true;
        }
        mCounts.onExpired();
        return false;
    }

    /** Returns an unused permit of this kind, so that another request of this VM can use it. */
    void returnUnused(long nowMs, SendPermit permit) {
        if (permit.valid(nowMs)) {
            mUnused.computeIfAbsent(permit.upstream(), u -> new ArrayDeque<>()).add(permit);
        } else {
            mCounts.onExpired();
        }
    }

    /** Removes expired permits, denials and buckets. */
    void tick(long nowMs) {
        mPolicy.tick(nowMs);
        mDenials.values().removeIf(d -> nowMs >= d.untilMs());
        Map.copyOf(mUnused).keySet().forEach(u -> removeExpired(nowMs, u));
    }

    /** Returns the outcomes of the permits that this VM requested. */
    public PermitCounts counts() {
        return mCounts;
    }
}
