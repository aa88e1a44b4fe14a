package org.hornbeampass.router.daemon;

import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * The links to other routers as the hooks leave them: what is cut is lost, and a request whose
 * question or answer is lost ends at its timeout.
 *
 * <p>Thread-safe.
 */
final class FaultInjectingPeers implements PeerNetwork {
    private final PeerNetwork mPeers;
    private final LinkFaults mHooks;
    private final EventLoops mLoops;
    private final Clock mClock;

    FaultInjectingPeers(PeerNetwork peers, LinkFaults hooks, EventLoops loops, Clock clock) {
        mPeers = peers;
        mHooks = hooks;
        mLoops = loops;
        mClock = clock;
    }

    @Override
    public void send(String vmName, PeerMessage message) {
        if (mHooks.deliversTo(vmName)) {
            mPeers.send(vmName, message);
        }
    }

    @Override
    public void request(
            long nowMs,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        if (!mHooks.deliversTo(vmName)) {
            timeOut(vmName, nowMs + timeoutMs, done);
            return;
        }
        mPeers.request(
                nowMs,
                vmName,
                request,
                timeoutMs,
                (at, reply) -> {
                    if (mHooks.receivesFrom(vmName)) {
                        done.accept(at, reply);
                    } else {
                        timeOut(vmName, nowMs + timeoutMs, done);
                    }
                });
    }

    private void timeOut(
            String vmName, long atMs, BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        Failure lost =
                Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer from " + vmName + " in time");
        ScheduledFuture<?> unused =
                mLoops.group()
                        .next()
                        .schedule(
                                () -> done.accept(mClock.nowMs(), Either.left(lost)),
                                Math.max(0, atMs - mClock.nowMs()),
                                TimeUnit.MILLISECONDS);
    }
}
