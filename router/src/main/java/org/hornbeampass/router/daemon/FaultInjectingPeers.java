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
 * Sends messages to other routers over links that an experiment may cut. Messages on a cut link are
 * lost, and a request whose message or reply is lost fails at its timeout.
 *
 * <p>Thread-safe.
 */
final class FaultInjectingPeers implements PeerNetwork {
    private final PeerNetwork mPeers;
    private final LinkFaults mFaults;
    private final EventLoops mLoops;
    private final Clock mClock;

    FaultInjectingPeers(PeerNetwork peers, LinkFaults faults, EventLoops loops, Clock clock) {
        mPeers = peers;
        mFaults = faults;
        mLoops = loops;
        mClock = clock;
    }

    @Override
    public void send(String vmName, PeerMessage message) {
        if (mFaults.deliversTo(vmName)) {
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
        if (!mFaults.deliversTo(vmName)) {
            failAtTimeout(vmName, nowMs + timeoutMs, done);
            return;
        }
        mPeers.request(
                nowMs,
                vmName,
                request,
                timeoutMs,
                (doneMs, reply) -> {
                    if (mFaults.receivesFrom(vmName)) {
                        done.accept(doneMs, reply);
                    } else {
                        failAtTimeout(vmName, nowMs + timeoutMs, done);
                    }
                });
    }

    private void failAtTimeout(
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
