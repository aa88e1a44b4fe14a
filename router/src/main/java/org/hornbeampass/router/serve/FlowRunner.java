package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.limit.AdmissionRequest;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.protocol.openai.ChatRequest;
import org.hornbeampass.protocol.openai.PromptText;
import org.hornbeampass.protocol.openai.UpstreamBody;
import org.hornbeampass.router.flow.CallerPort;
import org.hornbeampass.router.flow.ChatFlow;
import org.hornbeampass.router.flow.FlowPorts;
import org.hornbeampass.router.flow.ServiceFlow;
import org.hornbeampass.router.flow.UpstreamPort;
import org.hornbeampass.router.front.AdmittedChat;
import org.hornbeampass.router.front.AdmittedServiceCall;
import org.hornbeampass.router.front.RequestRunner;
import org.hornbeampass.router.front.ServingConfig;
import org.hornbeampass.router.upstream.ChatDispatcher;
import org.hornbeampass.router.upstream.ServiceDispatcher;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.PromptTokens;
import org.hornbeampass.state.config.WorkKind;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.RequestKey;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives each request its flow, bound to the VM's parts.
 *
 * <p>Thread-safe.
 */
public final class FlowRunner implements RequestRunner {
    private final ServeParts mParts;
    private final AtomicLong mAttempts = new AtomicLong();
    private final AtomicInteger mRunning = new AtomicInteger();

    /** What both kinds of request have in common. */
    private record Admitted(
            long nowMs,
            WorkKind kind,
            RequestKey key,
            BudgetKey budget,
            ServingConfig.Caller caller,
            WorkTarget target,
            long cost,
            Deadline deadline) {}

    /** Makes the runner of one VM. */
    public FlowRunner(ServeParts parts) {
        mParts = parts;
    }

    /** Returns the number of requests that have not ended, those without a caller included. */
    public int running() {
        return mRunning.get();
    }

    @Override
    public void chat(long nowMs, AdmittedChat order, HttpExchange exchange, CallerPort caller) {
        ChatRequest request = order.request();
        WorkTarget target =
                request.adapter()
                        .map(a -> WorkTarget.adapter(request.model(), a))
                        .orElseGet(() -> WorkTarget.model(request.model()));
        Admitted admitted =
                new Admitted(
                        nowMs,
                        WorkKind.CHAT,
                        order.key(),
                        order.budget(),
                        order.caller(),
                        target,
                        order.plan().worstCaseTokens(),
                        new Deadline(order.plan().deadlineMs()));
        PrefixDigests prefix =
                PrefixDigests.of(PromptTokens.blockHashes(PromptText.of(request.body())));
        ChatDispatcher route =
                new ChatDispatcher(
                        mParts.upstreams(),
                        order.key().request().value(),
                        query(admitted, prefix),
                        UpstreamBody.of(request, order.plan().completionLimit()),
                        request.stream());
        AttemptId attempt = nextAttempt();
        ChatFlow flow = new ChatFlow(order.plan(), ports(admitted, attempt, route, caller));
        exchange.onCallerGone(() -> flow.onCallerGone(mParts.clock().nowMs()));
        exchange.onWritable(flow::onCallerWritable);
        flow.start(nowMs);
    }

    @Override
    public void service(
            long nowMs, AdmittedServiceCall order, HttpExchange exchange, CallerPort caller) {
        Admitted admitted =
                new Admitted(
                        nowMs,
                        order.plan().repeatable()
                                ? WorkKind.SERVICE_REPEATABLE
                                : WorkKind.SERVICE_ONCE,
                        order.key(),
                        order.budget(),
                        order.caller(),
                        WorkTarget.service(order.call().service()),
                        1,
                        new Deadline(order.plan().deadlineMs()));
        ServiceDispatcher route =
                new ServiceDispatcher(
                        mParts.upstreams(),
                        order.key().request().value(),
                        query(admitted, PrefixDigests.none()),
                        order.call(),
                        order.plan().repeatable());
        AttemptId attempt = nextAttempt();
        LedgerClaim claim =
                new LedgerClaim(
                        mParts.requests(),
                        order.key(),
                        attempt,
                        nowMs,
                        mParts.timers(),
                        mParts.settings().billWaitMs());
        ServiceFlow flow =
                new ServiceFlow(order.plan(), ports(admitted, attempt, route, caller), claim);
        exchange.onCallerGone(() -> flow.onCallerGone(mParts.clock().nowMs()));
        flow.start(nowMs);
    }

    private AttemptId nextAttempt() {
        return new AttemptId(mParts.vm(), mAttempts.incrementAndGet());
    }

    private static RoutingQuery query(Admitted admitted, PrefixDigests prefix) {
        return new RoutingQuery(
                admitted.target(),
                admitted.key().organisation(),
                admitted.caller().terms().priority(),
                prefix,
                Set.of(),
                admitted.deadline());
    }

    private FlowPorts ports(
            Admitted admitted, AttemptId attempt, UpstreamPort route, CallerPort caller) {
        LedgerBudget budget =
                new LedgerBudget(
                        mParts.budgets(),
                        admitted.budget(),
                        admitted.key().request(),
                        mParts.settings().grantWaitMs());
        LedgerBill bill =
                new LedgerBill(
                        mParts.requests(),
                        admitted.key(),
                        admitted.budget().budget(),
                        attempt,
                        admitted.nowMs(),
                        new LedgerBill.Wait(
                                mParts.timers(),
                                mParts.settings().billWaitMs(),
                                budget::refundLate));
        mRunning.incrementAndGet();
        FlowRecorder recorder =
                new FlowRecorder(
                        mParts.metrics(),
                        admitted.kind(),
                        admitted.key().organisation(),
                        admitted.key().request(),
                        admitted.nowMs(),
                        route::lastUpstream,
                        mRunning::decrementAndGet);
        return new FlowPorts(
                gate(admitted), budget, bill, route, caller, mParts.timers(), recorder);
    }

    private RequestGate gate(Admitted admitted) {
        return new RequestGate(
                mParts.limits(),
                mParts.queues().queue(admitted.target()),
                new AdmissionRequest(
                        admitted.key().organisation(),
                        admitted.caller().terms().priority(),
                        1,
                        Math.max(1, admitted.cost()),
                        admitted.deadline()));
    }
}
