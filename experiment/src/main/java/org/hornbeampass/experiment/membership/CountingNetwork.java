package org.hornbeampass.experiment.membership;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerHandler;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A network between VMs in virtual time that encodes each message and counts its bytes.
 *
 * <p>A message to a VM that does not run is lost without a word, which is the slowest way to find
 * out. Not thread-safe: one thread runs an experiment.
 */
final class CountingNetwork {
    private static final int SAME_REGION_MS = 2;
    private static final int OTHER_REGION_MS = 40;
    private static final String SENT = "sent";
    private static final String SENT_TO_DEAD = "sent to dead VMs";

    private final EventQueue mEvents;
    private final Random mRandom;
    private final WireCodec mCodec = new WireCodec();
    private final Map<String, Node> mNodes = new HashMap<>();
    private final Set<Region> mCutOff = new HashSet<>();
    private final Map<String, Long> mBytesByType = new TreeMap<>();

    /** One running VM's handlers and counts. */
    static final class Node {
        private final Member mSelf;
        private final Map<Class<?>, PeerHandler<PeerMessage>> mHandlers = new HashMap<>();
        private long mSent;
        private long mReceived;
        private long mMessages;
        private final Map<String, Long> mBytesByKind = new TreeMap<>();

        private Node(Member self) {
            mSelf = self;
        }

        long sentBytes() {
            return mSent;
        }

        long receivedBytes() {
            return mReceived;
        }

        long messages() {
            return mMessages;
        }

        /** Returns the bytes by direction and type of message, as in {@code "sent Ping"}. */
        Map<String, Long> bytesByKind() {
            return Map.copyOf(mBytesByKind);
        }

        private void count(String direction, Class<?> type, int size) {
            mBytesByKind.merge(direction + " " + type.getSimpleName(), (long) size, Long::sum);
        }
    }

    CountingNetwork(EventQueue events, long seed) {
        mEvents = events;
        mRandom = new Random(seed);
    }

    Node join(Member self) {
        Node node = new Node(self);
        mNodes.put(self.name(), node);
        return node;
    }

    void remove(String name) {
        mNodes.remove(name);
    }

    Optional<Node> node(String name) {
        return Optional.ofNullable(mNodes.get(name));
    }

    void cutOff(Region region) {
        mCutOff.add(region);
    }

    void healAll() {
        mCutOff.clear();
    }

    Map<String, Long> bytesByType() {
        return mBytesByType;
    }

    <M extends PeerMessage> void register(Node node, Class<M> type, PeerHandler<M> handler) {
        node.mHandlers.put(
                type, (now, from, m, reply) -> handler.handle(now, from, type.cast(m), reply));
    }

    PeerNetwork connect(Node self) {
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
                CountingNetwork.this.request(self, vmName, request, timeoutMs, done);
            }
        };
    }

    private void request(
            Node self,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        boolean[] answered = new boolean[1];
        Consumer<Either<Failure, PeerMessage>> once =
                result -> {
                    if (!answered[0] && runs(self)) {
                        answered[0] = true;
                        done.accept(mEvents.nowMs(), result);
                    }
                };
        Failure late = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply from " + vmName);
        mEvents.after(timeoutMs, t -> once.accept(Either.left(late)));
        transmit(self, vmName, request, reply -> once.accept(Either.right(reply)));
    }

    private boolean runs(Node node) {
        return mNodes.get(node.mSelf.name()) == node;
    }

    private void transmit(
            Node from, String toName, PeerMessage message, Consumer<PeerMessage> reply) {
        Node to = mNodes.get(toName);
        byte[] bytes = sent(from, message, to == null ? SENT_TO_DEAD : SENT);
        if (to == null || cut(from, to)) {
            return;
        }
        mEvents.after(
                delay(from, to),
                t -> {
                    if (runs(to)) {
                        PeerMessage decoded = received(to, bytes, message.getClass());
                        handle(t, from, to, decoded, reply);
                    }
                });
    }

    private void handle(
            long nowMs, Node from, Node to, PeerMessage message, Consumer<PeerMessage> reply) {
        PeerHandler<PeerMessage> handler = to.mHandlers.get(message.getClass());
        VmId sender = from.mSelf.vm();
        handler.handle(
                nowMs,
                sender,
                message,
                answer -> {
                    byte[] bytes = sent(to, answer, SENT);
                    if (cut(from, to)) {
                        return;
                    }
                    mEvents.after(
                            delay(from, to),
                            t -> {
                                if (runs(from)) {
                                    reply.accept(received(from, bytes, answer.getClass()));
                                }
                            });
                });
    }

    private byte[] sent(Node node, PeerMessage message, String direction) {
        byte[] bytes = mCodec.encode(message);
        int size = bytes.length + WireCodec.HEADER_BYTES;
        node.mSent += size;
        node.mMessages++;
        mBytesByType.merge(message.getClass().getSimpleName(), (long) size, Long::sum);
        node.count(direction, message.getClass(), size);
        return bytes;
    }

    private PeerMessage received(Node node, byte[] bytes, Class<? extends PeerMessage> type) {
        int size = bytes.length + WireCodec.HEADER_BYTES;
        node.mReceived += size;
        node.count("received", type, size);
        return mCodec.decode(bytes, type);
    }

    private boolean cut(Node from, Node to) {
        Region one = from.mSelf.region();
        Region other = to.mSelf.region();
        return !one.equals(other) && (mCutOff.contains(one) || mCutOff.contains(other));
    }

    private int delay(Node from, Node to) {
        boolean near = from.mSelf.region().equals(to.mSelf.region());
        int base = near ? SAME_REGION_MS : OTHER_REGION_MS;
        return 1 + base / 2 + mRandom.nextInt(base);
    }
}
