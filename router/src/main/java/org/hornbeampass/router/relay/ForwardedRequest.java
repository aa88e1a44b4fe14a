package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RunState;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.AnswerIds;
import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards one request to another VM, which handles it like a request of its own caller, and
 * returns its answer.
 *
 * <p>The other VM reserves and bills the tokens, chooses the upstream and decides what may be sent
 * again. Invariants: at most one other VM handles the request at a time; it is forwarded again only
 * where the VM before stated that the request did not run; a failure that states that the request
 * did not run is answered only where that is certain. Confined to one event loop.
 */
final class ForwardedRequest implements RequestExecution, UpstreamListener {
    /** How many VMs a request may be forwarded to, one after another. */
    private static final int MAX_TARGETS = 3;

    /** How a router refuses what its configuration lacks; this router's has it. */
    private static final Set<HttpResponseStatus> MISSING_IN_CONFIGURATION =
            Set.of(
                    HttpResponseStatus.UNAUTHORIZED,
                    HttpResponseStatus.FORBIDDEN,
                    HttpResponseStatus.NOT_FOUND);

    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final RequestBody mBody;
    private final BodyTransfer mTransfer;
    private final CallerAnswer mAnswer;
    private final Set<String> mTried = new HashSet<>();
    private Optional<Member> mTarget = Optional.empty();
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<AnswerFraming> mFraming = Optional.empty();
    private boolean mMayHaveRun;

    ForwardedRequest(RelayContext context, RelayCall call, RelayPlan plan, RequestBody body) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mBody = body;
        mTransfer = new BodyTransfer(call, body);
        mAnswer = new CallerAnswer(context, call, plan, context.forwarding().pool().limits());
    }

    @Override
    public void start(long nowMs) {
        if (nowMs >= mPlan.deadlineMs()) {
            onDeadline(nowMs);
            return;
        }
        if (!mContext.shutdown().mayStart(nowMs, mPlan.route(), mPlan.deadlineMs())) {
            fail(nowMs, Refusals.shuttingDown());
            return;
        }
        Optional<Member> target = nextTarget();
        if (target.isEmpty()) {
            fail(nowMs, Refusals.noUpstream("no router that was asked reaches an upstream"));
            return;
        }
        Member vm = target.get();
        mTarget = target;
        mTried.add(vm.name());
        long remainingMs = mPlan.deadlineMs() - nowMs;
        mContext.forwarding()
                .pool()
                .connect(
                        nowMs,
                        vm.httpAddress(),
                        RelayBounds.MAX_IDLE_NOT_REPEATABLE_MS,
                        (int) Math.min(RelayBounds.CONNECT_TIMEOUT_MS, remainingMs),
                        connection -> onConnected(vm, connection));
    }

    private void onConnected(Member vm, Optional<UpstreamConnection> connection) {
        long nowMs = mContext.clock().nowMs();
        mCall.caller().detectDisconnect(nowMs);
        if (mCall.ended()) {
            connection.ifPresent(UpstreamConnection::cancel);
            return;
        }
        if (connection.isEmpty()) {
            logDecision(nowMs, "forward-unreachable", new LogFields().add("to", vm.name()));
            start(nowMs);
            return;
        }
        logDecision(nowMs, "forwarded", new LogFields().add("to", vm.name()));
        mMayHaveRun = true;
        mConnection = connection;
        mTransfer.restart();
        AnswerIds ids =
                new RequestAnswers(
                        mContext, mPlan.head().id(), () -> new LogFields().add("to", vm.name()));
        connection.get().start(mPlan.forwardHead(nowMs, mContext.wire()), ids, this);
        mTransfer.send(connection.get());
    }

    @Override
    public void onBody(long nowMs) {
        mConnection.ifPresentOrElse(mTransfer::send, mTransfer::awaitConnection);
    }

    @Override
    public void onUpstreamWritable(long nowMs) {
        mConnection.ifPresent(mTransfer::onWritability);
    }

    @Override
    public boolean onHead(long nowMs, HttpResponse head) {
        AnswerHead answer = mContext.wire().readAnswer(head, mPlan.head().id());
        if (answer.outcome() == AnswerOutcome.UNRELATED) {
            return false;
        }
        if (answer.outcome() == AnswerOutcome.UNVERIFIED) {
            cancelConnection();
            onLost(nowMs, "the answer lacks the headers that prove its origin");
            return true;
        }
        if (statesNotRun(head)) {
            mMayHaveRun = false;
            if (handleRefusal(nowMs, head.status())) {
                return true;
            }
        }
        HttpResponse copy = EndToEndHeaders.copyOf(head, mContext.wire());
        mFraming = Optional.of(AnswerFraming.of(mPlan.request().method(), head));
        if (mPlan.isStream(head, answer.outcome())) {
            mAnswer.startStream(copy);
        } else {
            mAnswer.startBuffered(copy);
        }
        return true;
    }

    /**
     * Returns whether the other VM itself states that the request did not run; it removes such a
     * statement from the answers of upstreams.
     */
    private static boolean statesNotRun(HttpResponse head) {
        return head.headers()
                .contains(ErrorAnswer.RUN_STATE_HEADER, RunState.NOT_RUN.wireName(), false);
    }

    /**
     * Handles the other VM's refusal: tries the next VM, or answers itself where the other VM's
     * configuration lacks what this one's has.
     *
     * @return whether the answer is not to be passed on
     */
    private boolean handleRefusal(long nowMs, HttpResponseStatus status) {
        boolean configurationDiffers = MISSING_IN_CONFIGURATION.contains(status);
        boolean mayBeServedElsewhere =
                configurationDiffers || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
        boolean again = mayBeServedElsewhere && mayForwardAgain();
        if (!again && !configurationDiffers) {
            return false;
        }
        logDecision(
                nowMs,
                "forward-refused",
                new LogFields()
                        .add("to", mTarget.orElseThrow().name())
                        .add("status", status.code()));
        cancelConnection();
        if (again) {
            start(nowMs);
        } else {
            fail(nowMs, Refusals.missingHere("another router answered " + status.code()));
        }
        return true;
    }

    private boolean mayForwardAgain() {
        return mBody.replayable() && !mCall.callerGone() && nextTarget().isPresent();
    }

    private Optional<Member> nextTarget() {
        return mTried.size() < MAX_TARGETS
                ? mContext.forwarding().target(mPlan.service().name(), mTried)
                : Optional.empty();
    }

    @Override
    public void onPart(long nowMs, ByteBuf part) {
        if (mCall.ended() || mConnection.isEmpty()) {
            part.release();
            return;
        }
        boolean continuous = mAnswer.append(part);
        if (!continuous) {
            cancelConnection();
            abortAnswer(nowMs, "a router omitted events of the stream");
            return;
        }
        Optional<String> bound = mAnswer.exceededBound();
        if (bound.isPresent()) {
            cancelConnection();
            onLost(nowMs, bound.get());
        }
    }

    @Override
    public void onReadComplete(long nowMs) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        mCall.caller().flush();
        if (!mCall.caller().isWritable() && !mCall.callerGone()) {
            mConnection.get().setReading(false);
        }
    }

    @Override
    public void onCallerWritable() {
        mConnection.ifPresent(c -> c.setReading(mCall.caller().isWritable()));
    }

    @Override
    public void onEnd(long nowMs) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        Optional<String> defect = mAnswer.defect(mFraming.orElseThrow());
        if (defect.isPresent()) {
            onBroken(nowMs, defect.get());
            return;
        }
        mConnection = Optional.empty();
        mAnswer.end();
        mCall.end(nowMs, mMayHaveRun ? "answered" : "refused-by-vm", 0);
        mCall.caller().sendEnd();
    }

    @Override
    public void onBroken(long nowMs, String reason) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        mConnection = Optional.empty();
        onLost(nowMs, reason);
    }

    private void onLost(long nowMs, String reason) {
        logDecision(
                nowMs,
                "forward-lost",
                new LogFields()
                        .add("to", mTarget.map(Member::name).orElse(""))
                        .add("reason", reason)
                        .add("events", mAnswer.eventCount()));
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, reason);
            return;
        }
        ErrorKind kind = mPlan.route().kind().lossError();
        fail(nowMs, Failure.of(kind, "the router that handled the request was lost"));
    }

    @Override
    public void onDeadline(long nowMs) {
        cancelConnection();
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, "the deadline has passed");
        } else if (mMayHaveRun) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"));
        } else {
            fail(nowMs, Refusals.noUpstream("the deadline passed before the request was sent"));
        }
    }

    @Override
    public void refuse(long nowMs, Failure failure) {
        cancelConnection();
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, failure.message());
        } else {
            fail(nowMs, failure);
        }
    }

    @Override
    public void onExit(long nowMs) {
        cancelConnection();
        if (mMayHaveRun) {
            onLost(nowMs, "the router shuts down before the answer is complete");
        } else {
            fail(nowMs, Refusals.shuttingDown());
        }
    }

    /** Closes the connection, so that the other VM handles the loss of the caller in its turn. */
    @Override
    public void onCallerGone(long nowMs) {
        cancelConnection();
        mAnswer.release();
        mCall.end(nowMs, "caller-gone", 0);
    }

    @Override
    public LogFields summary() {
        return new LogFields()
                .add("forwarded_to", mTarget.map(Member::name).orElse(""))
                .add("vms_tried", mTried.size())
                .add("events", mAnswer.eventCount());
    }

    private void fail(long nowMs, Failure failure) {
        mAnswer.release();
        mCall.fail(nowMs, failure, 0);
    }

    private void abortAnswer(long nowMs, String why) {
        mContext.log().logGivenUp(nowMs, mPlan.head().id(), true, why);
        mAnswer.release();
        mCall.end(nowMs, "broken", 0);
        mCall.caller().abort();
    }

    private void cancelConnection() {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mConnection = Optional.empty();
    }

    private void logDecision(long nowMs, String decision, LogFields fields) {
        mContext.log().logDecision(nowMs, mPlan.head().id(), decision, fields);
    }
}
