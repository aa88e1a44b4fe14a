package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.drain.DrainAnswer;
import org.hornbeampass.coordination.drain.DrainOrder;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Executes operators' orders to drain this router, and sends those for other routers to them.
 *
 * <p>Invariant: an order addresses one incarnation and has no effect on a later one. Thread-safe:
 * holds no state of its own.
 */
public final class RouterDrainer {
    private static final Logger LOG = LogManager.getLogger(RouterDrainer.class);
    private static final long TIMEOUT_MS = 3_000;
    private static final String DRAINING = "draining";

    private final Membership mMembership;
    private final PeerNetwork mNetwork;
    private final DrainControl mControl;

    /** Creates a drainer from the membership, the peer network and this router's drain control. */
    public RouterDrainer(Membership membership, PeerNetwork network, DrainControl control) {
        mMembership = membership;
        mNetwork = network;
        mControl = control;
    }

    /** Orders the router on the named VM to drain; calls {@code done} once. */
    public void drain(
            long nowMs,
            String vmName,
            String operator,
            BiConsumer<Long, Either<Failure, Drained>> done) {
        Optional<Member> member = mMembership.view().member(vmName);
        if (member.isEmpty()) {
            done.accept(nowMs, Either.left(unknownRouter(vmName)));
            return;
        }
        DrainOrder order = new DrainOrder(member.get().vm(), operator);
        if (order.vm().equals(self())) {
            done.accept(nowMs, Either.right(drained(vmName, execute(nowMs, order))));
            return;
        }
        mNetwork.request(
                nowMs,
                vmName,
                order,
                TIMEOUT_MS,
                (atMs, reply) -> done.accept(atMs, reply.flatMap(r -> toResult(vmName, r))));
    }

    /** Handles a {@link DrainOrder} from a peer; used as a {@code PeerHandler}. */
    public void onDrainOrder(long nowMs, VmId from, DrainOrder order, Consumer<PeerMessage> reply) {
        reply.accept(execute(nowMs, order));
    }

    private DrainAnswer execute(long nowMs, DrainOrder order) {
        if (!order.vm().equals(self())) {
            return new DrainAnswer(false, mControl.inFlight());
        }
        LOG.info("operator {} ordered this router to drain", order.operator());
        mControl.begin(nowMs);
        return new DrainAnswer(true, mControl.inFlight());
    }

    private VmId self() {
        return mMembership.view().self().vm();
    }

    private static Either<Failure, Drained> toResult(String vmName, PeerMessage reply) {
        if (reply instanceof DrainAnswer answer && answer.draining()) {
            return Either.right(drained(vmName, answer));
        }
        return Either.left(
                Failure.of(
                        ErrorKind.NOT_FOUND,
                        "router "
                                + vmName
                                + " was replaced by a newer one; check `hornbeamctl routers`"));
    }

    private static Drained drained(String vmName, DrainAnswer answer) {
        return new Drained(vmName, DRAINING, answer.inFlight());
    }

    private static Failure unknownRouter(String vmName) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "there is no router "
                        + AdminChecks.shortened(vmName)
                        + "; `hornbeamctl routers` shows those that exist");
    }
}
