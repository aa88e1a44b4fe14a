package org.hornbeampass.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.protocol.peer.PeerTypes;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.tls.TestCertificate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests {@link PeerTransport} over loopback sockets. */
class PeerTransportTest {
    private final PeerFleet mFleet = new PeerFleet();

    @AfterEach
    void close() {
        mFleet.close();
    }

    @Test
    void request_isHandledUnderTheAuthenticatedIdentity() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start("vm-b");
        b.on(
                Question.class,
                (now, from, question, reply) -> reply.accept(new Reply(from + " " + question)));

        Question question = Question.of("how much?");

        assertThat(mFleet.request(a, "vm-b", question))
                .isEqualTo(Either.right(new Reply("vm-a~1 " + question)));
        assertThat(b.counters().bytesReceived()).isEqualTo(a.counters().bytesSent()).isPositive();
    }

    @Test
    void request_isRepliedTo_overTls() throws Exception {
        PeerTransport a =
                mFleet.start(PeerFleet.settings("vm-a").withTls(TestCertificate.mutual()));
        PeerTransport b =
                mFleet.start(PeerFleet.settings("vm-b").withTls(TestCertificate.mutual()));
        b.on(Question.class, (now, from, question, reply) -> reply.accept(new Reply("tls")));
        PeerTransport plain = mFleet.start("vm-c");

        assertThat(mFleet.request(a, "vm-b", Question.of("?")))
                .isEqualTo(Either.right(new Reply("tls")));
        assertFails(mFleet.request(plain, "vm-b", Question.of("?")), ErrorKind.NOT_READY);
    }

    @Test
    void oneWayMessage_isDelivered() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start("vm-b");
        CompletableFuture<String> seen = new CompletableFuture<>();
        b.on(Note.class, (now, from, note, reply) -> seen.complete(from + " " + note.text()));

        a.send("vm-b", new Note("hello"));

        assertThat(seen.get(PeerFleet.WAIT_S, TimeUnit.SECONDS)).isEqualTo("vm-a~1 hello");
    }

    @Test
    void unknownType_isUnsupported_andKeepsTheConnection() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTypes newer =
                PeerTypes.of(List.of(new PeerType(99, Note.class, PeerType.Form.REQUEST)));
        PeerTransport c = mFleet.start(PeerFleet.settings("vm-c").withTypes(newer));

        assertFails(mFleet.request(c, "vm-a", new Note("new")), ErrorKind.NOT_FOUND);
        assertFails(mFleet.request(c, "vm-a", new Note("new")), ErrorKind.NOT_FOUND);
        assertThat(a.counters().unknownFrames()).isEqualTo(2);
        assertThat(a.counters().connections()).isEqualTo(1);
    }

    @Test
    void undecodableMessage_closesTheConnection_andIsCounted() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        a.on(Question.class, (now, from, question, reply) -> reply.accept(new Reply("")));
        PeerTypes other =
                PeerTypes.of(List.of(new PeerType(1, OtherQuestion.class, PeerType.Form.REQUEST)));
        PeerTransport c = mFleet.start(PeerFleet.settings("vm-c").withTypes(other));

        assertFails(
                mFleet.request(c, "vm-a", new OtherQuestion(List.of("a", "b"))),
                ErrorKind.OUTCOME_UNKNOWN);
        assertThat(a.counters().malformedFrames()).isEqualTo(1);
    }

    @Test
    void failingHandler_failsTheRequest() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start("vm-b");
        b.on(
                Question.class,
                (now, from, question, reply) -> {
                    throw new IllegalStateException("on purpose");
                });

        assertFails(mFleet.request(a, "vm-b", Question.of("?")), ErrorKind.INTERNAL);
    }

    @Test
    void requestWithoutReply_timesOut() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start("vm-b");
        b.on(Question.class, (now, from, question, reply) -> {});

        assertFails(mFleet.request(a, "vm-b", Question.of("?"), 1), ErrorKind.DEADLINE_EXCEEDED);
        assertThat(a.counters().timedOutRequests()).isEqualTo(1);
    }

    @Test
    void otherKey_failsTheHandshake() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        mFleet.start("vm-b");
        PeerSettings plain = PeerFleet.settings("vm-c");
        PeerTransport c =
                mFleet.start(
                        new PeerSettings(
                                plain.self(),
                                plain.listen(),
                                Secret.of("another key"),
                                plain.types(),
                                plain.limits(),
                                plain.timing(),
                                plain.tls()));

        assertFails(mFleet.request(c, "vm-b", Question.of("?")), ErrorKind.NOT_READY);
        assertFails(mFleet.request(a, "vm-c", Question.of("?")), ErrorKind.NOT_READY);
        assertThat(c.counters().rejectedHandshakes()).isEqualTo(1);
    }

    @Test
    void addressOfAnotherVm_failsTheHandshake() throws Exception {
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start("vm-b");
        mFleet.setAddress("vm-old", b.address());

        assertFails(mFleet.request(a, "vm-old", Question.of("?")), ErrorKind.NOT_READY);
        assertThat(b.counters().rejectedHandshakes()).isEqualTo(1);
    }

    @Test
    void unknownAddress_failsImmediately_alsoDuringBackoff() throws Exception {
        PeerTransport a = mFleet.start("vm-a");

        assertFails(mFleet.request(a, "vm-none", Question.of("?")), ErrorKind.NOT_READY);
        assertFails(mFleet.request(a, "vm-none", Question.of("?")), ErrorKind.NOT_READY);
    }

    @Test
    void oversizedMessage_closesTheConnection_andIsCounted() throws Exception {
        PeerSettings.Limits small = new PeerSettings.Limits(100, 1 << 20, 10, 10);
        PeerTransport a = mFleet.start("vm-a");
        PeerTransport b = mFleet.start(PeerFleet.settings("vm-b").withLimits(small));
        b.on(Question.class, (now, from, question, reply) -> reply.accept(new Reply("")));

        assertFails(
                mFleet.request(a, "vm-b", Question.of("x".repeat(1000))),
                ErrorKind.OUTCOME_UNKNOWN);
        assertThat(b.counters().malformedFrames()).isEqualTo(1);
    }

    @Test
    void on_rejectsReplyMessages() {
        PeerTransport a = mFleet.start("vm-a");

        assertThatThrownBy(() -> a.on(Reply.class, (now, from, m, reply) -> {}))
                .hasMessageContaining("one-way or request");
    }

    @Test
    void restartedPeer_isReconnected() throws Exception {
        PeerSettings.Timing eager = new PeerSettings.Timing(5_000, 2_000, 60_000, 0, 0);
        PeerTransport a = mFleet.start(PeerFleet.settings("vm-a").withTiming(eager));
        PeerTransport b = mFleet.start("vm-b");
        b.on(Question.class, (now, from, question, reply) -> reply.accept(new Reply("old")));
        assertThat(mFleet.request(a, "vm-b", Question.of("?")).get()).isEqualTo(new Reply("old"));
        b.stop().get(PeerFleet.WAIT_S, TimeUnit.SECONDS);
        PeerTransport again = mFleet.start("vm-b");
        again.on(Question.class, (now, from, question, reply) -> reply.accept(new Reply("new")));

        Either<Failure, PeerMessage> reply = mFleet.request(a, "vm-b", Question.of("?"));
        for (int i = 0; i < 1000 && reply.isLeft(); i++) {
            reply = mFleet.request(a, "vm-b", Question.of("?"));
        }

        assertThat(reply).isEqualTo(Either.right(new Reply("new")));
    }

    private static void assertFails(Either<Failure, PeerMessage> reply, ErrorKind kind) {
        assertThat(reply.swap().map(Failure::kind)).containsExactly(kind);
    }
}
