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
 * A network between VMs that delays, reorders, drops and partitions, by a seed.
 *
 * <p>A message goes to the newest life of the named VM that has joined. Not thread-safe: tests run
 * on one thread.
 */
public final class FakePeerNetwork {
    private final VirtualTime mTime;
    private final FakeVms mVms;
    private final SplittableRandom mRandom;
    private final Map<String, VmId> mNewest = new HashMap<>();
    private final Map<VmId, Map<Class<?>, PeerHandler<PeerMessage>>> mHandlers = new HashMap<>();
    private final Set<Link> mCut = new HashSet<>();

    private UnaryOperator<PeerMessage> mRewrite = UnaryOperator.identity();
    private double mDuplicate;
    private double mDrop;
    private long mMinMs = 1;
    private long mMaxMs = 3;

    /** One direction between two VMs, by name. */
    private record Link(String from, String to) {}

    /** Creates a network that delivers within a few milliseconds and drops nothing. */
    public FakePeerNetwork(VirtualTime time, FakeVms vms, long seed) {
        mTime = time;
        mVms = vms;
        mRandom = new SplittableRandom(seed);
    }

    /** Sets how often a message is dropped, from 0 to 1. */
    public void setDropRate(double share) {
        mDrop = share;
    }

    /** Sets how often a message is delivered twice, from 0 to 1. */
    public void setDuplicateRate(double share) {
        mDuplicate = share;
    }

    /** Sets what is delivered in place of each message and each reply. */
    public void setMessageRewrite(UnaryOperator<PeerMessage> rewrite) {
        mRewrite = rewrite;
    }

    /** Sets how long one way takes, in milliseconds; a wide range reorders. */
    public void setLatency(long minMs, long maxMs) {
        mMinMs = minMs;
        mMaxMs = maxMs;
    }

    /** Cuts two VMs off from each other, in both directions. */
    public void cut(String one, String other) {
        mCut.add(new Link(one, other));
        mCut.add(new Link(other, one));
    }

    /** Ends a cut between two VMs. */
    public void heal(String one, String other) {
        mCut.remove(new Link(one, other));
        mCut.remove(new Link(other, one));
    }

    /** Ends all cuts. */
    public void healAll() {
        mCut.clear();
    }

    /** Registers a VM's handler of one type of message. */
    public <M extends PeerMessage> void register(VmId vm, Class<M> type, PeerHandler<M> handler) {
        mNewest.merge(vm.name(), vm, (a, b) -> a.compareTo(b) > 0 ? a : b);
        mHandlers
                .computeIfAbsent(vm, v -> new HashMap<>())
                .put(type, (now, from, m, reply) -> handler.handle(now, from, type.cast(m), reply));
    }

    /** Returns the network as one VM sees it. */
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
        if (lost(from.name(), toName)) {
            return;
        }
        PeerMessage sent = mRewrite.apply(message);
        deliver(from, toName, sent, reply);
        if (mDuplicate > 0 && mRandom.nextDouble() < mDuplicate) {
            deliver(from, toName, sent, reply);
        }
    }

    private void deliver(
            VmId from, String toName, PeerMessage message, Consumer<PeerMessage> reply) {
        mTime.after(
                leg(),
                t -> {
                    VmId to = mNewest.get(toName);
                    if (to != null && !lost(from.name(), toName)) {
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
                    if (!lost(to.name(), from.name())) {
                        PeerMessage sent = mRewrite.apply(answer);
                        mTime.after(leg(), t -> reply.accept(sent));
                    }
                });
    }

    private boolean lost(String from, String to) {
        return mCut.contains(new Link(from, to)) || mRandom.nextDouble() < mDrop;
    }

    private long leg() {
        return mRandom.nextLong(mMinMs, mMaxMs + 1);
    }
}
