package org.hornbeampass.testing;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerHandler;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * A network between VMs that can delay, reorder, duplicate and drop messages and be partitioned,
 * deterministic for a given seed.
 *
 * <p>A message is delivered to the newest incarnation of the named VM that has registered. Not
 * thread-safe: tests run on one thread.
 */
public final class FakePeerNetwork {
    private final VirtualTime mTime;
    private final FakeVms mVms;
    private final SplittableRandom mRandom;
    private final Map<String, VmId> mNewestByName = new HashMap<>();
    private final Map<VmId, Map<Class<?>, PeerHandler<PeerMessage>>> mHandlers = new HashMap<>();
    private final Set<Link> mCutLinks = new HashSet<>();

    private UnaryOperator<PeerMessage> mRewrite = UnaryOperator.identity();
    private double mDuplicateRate;
    private double mDropRate;
    private long mMinLatencyMs = 1;
    private long mMaxLatencyMs = 3;

    /** One direction between two VMs, identified by name. */
    private record Link(String from, String to) {}

    /** Creates a network with a latency of a few milliseconds and without faults. */
    public FakePeerNetwork(VirtualTime time, FakeVms vms, long seed) {
        mTime = time;
        mVms = vms;
        mRandom = new SplittableRandom(seed);
    }

    /** Sets the probability that a message is dropped, from 0 to 1. */
    public void setDropRate(double share) {
        mDropRate = share;
    }

    /** Sets the probability that a message is delivered twice, from 0 to 1. */
    public void setDuplicateRate(double share) {
        mDuplicateRate = share;
    }

    /** Sets the function that replaces each message and each reply. */
    public void setMessageRewrite(UnaryOperator<PeerMessage> rewrite) {
        mRewrite = rewrite;
    }

    /** Sets the range of the one-way latency in milliseconds; a wide range reorders messages. */
    public void setLatency(long minMs, long maxMs) {
        mMinLatencyMs = minMs;
        mMaxLatencyMs = maxMs;
    }

    /** Cuts the connection between two VMs in both directions. */
    public void cut(String one, String other) {
        mCutLinks.add(new Link(one, other));
        mCutLinks.add(new Link(other, one));
    }

    /** Restores the connection between two VMs. */
    public void heal(String one, String other) {
        mCutLinks.remove(new Link(one, other));
        mCutLinks.remove(new Link(other, one));
    }

    /** Restores all connections. */
    public void healAll() {
        mCutLinks.clear();
    }

    /** Registers a VM's handler for one type of message. */
    public <M extends PeerMessage> void register(VmId vm, Class<M> type, PeerHandler<M> handler) {
        mNewestByName.merge(vm.name(), vm, (a, b) -> a.compareTo(b) > 0 ? a : b);
        mHandlers
                .computeIfAbsent(vm, v -> new HashMap<>())
                .put(type, (now, from, m, reply) -> handler.handle(now, from, type.cast(m), reply));
    }

    /** Returns the network as seen by one VM. */
    public PeerNetwork connect(VmId self) {
        return new PeerNetwork() {
            @Override
            public void send(String vmName, PeerMessage message) {
                transmit(self, vmName, message, reply -> {});
            }

            @Override
            public void request(
                    long nowMs,
                    String vmName,
                    PeerMessage request,
                    long timeoutMs,
                    BiConsumer<Long, Either<Failure, PeerMessage>> done) {
                FakePeerNetwork.this.request(self, vmName, request, timeoutMs, done);
            }
        };
    }

    private void request(
            VmId self,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        boolean[] answered = new boolean[1];
        Consumer<Either<Failure, PeerMessage>> once =
                result ->
                        mVms.deliver(
                                self,
                                atMs -> {
                                    if (!answered[0]) {
                                        answered[0] = true;
                                        done.accept(atMs, result);
                                    }
                                });
        Failure late = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply from " + vmName);
        mTime.after(timeoutMs, t -> once.accept(Either.left(late)));
        transmit(self, vmName, request, reply -> once.accept(Either.right(reply)));
    }

    private void transmit(
            VmId from, String toName, PeerMessage message, Consumer<PeerMessage> reply) {
        if (isLost(from.name(), toName)) {
            return;
        }
        PeerMessage sent = mRewrite.apply(message);
        deliver(from, toName, sent, reply);
        if (mDuplicateRate > 0 && mRandom.nextDouble() < mDuplicateRate) {
            deliver(from, toName, sent, reply);
        }
    }

    private void deliver(
            VmId from, String toName, PeerMessage message, Consumer<PeerMessage> reply) {
        mTime.after(
                randomLatencyMs(),
                t -> {
                    VmId to = mNewestByName.get(toName);
                    if (to != null && !isLost(from.name(), toName)) {
                        mVms.deliver(to, atMs -> handle(atMs, from, to, message, reply));
                    }
                });
    }

    private void handle(
            long nowMs, VmId from, VmId to, PeerMessage message, Consumer<PeerMessage> reply) {
        PeerHandler<PeerMessage> handler =
                mHandlers.getOrDefault(to, Map.of()).get(message.getClass());
        if (handler == null) {
            return;
        }
        handler.handle(
                nowMs,
                from,
                message,
                answer -> {
                    if (!isLost(to.name(), from.name())) {
                        PeerMessage sent = mRewrite.apply(answer);
                        mTime.after(randomLatencyMs(), t -> reply.accept(sent));
                    }
                });
    }

    private boolean isLost(String from, String to) {
        return mCutLinks.contains(new Link(from, to)) || mRandom.nextDouble() < mDropRate;
    }

    private long randomLatencyMs() {
        return mRandom.nextLong(mMinLatencyMs, mMaxLatencyMs + 1);
    }
}
