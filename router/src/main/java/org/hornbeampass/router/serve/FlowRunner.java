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
 * Creates and starts the flow of each request, connected to the components of this VM.
 *
 * <p>Thread-safe.
 */
public final class FlowRunner implements RequestRunner {
    private final ServeDependencies mDependencies;
    private final AtomicLong mAttemptCount = new AtomicLong();
    private final AtomicInteger mRunning = new AtomicInteger();

    /** The properties of a request that chat completions and service calls have in common. */
    private record RequestContext(
            long nowMs,
            WorkKind kind,
            RequestKey key,
            BudgetKey budget,
            ServingConfig.Caller caller,
            WorkTarget target,
            long cost,
            Deadline deadline) {}

    /** Creates the runner of one VM. */
    public FlowRunner(ServeDependencies dependencies) {
        mDependencies = dependencies;
    }

    /**
     * Returns the number of requests that have not ended, including those whose caller has
     * disconnected.
     */
    public int runningCount() {
        return mRunning.get();
    }

    @Override
    public void chat(long nowMs, AdmittedChat order, HttpExchange exchange, CallerPort caller) {
        ChatRequest request = order.request();
        WorkTarget target =
                request.adapter()
                        .map(a -> WorkTarget.adapter(request.model(), a))
                        .orElseGet(() -> WorkTarget.model(request.model()));
        RequestContext context =
                new RequestContext(
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
        ChatDispatcher dispatcher =
                new ChatDispatcher(
                        mDependencies.upstreams(),
                        order.key().request().value(),
                        routingQuery(context, prefix),
                        UpstreamBody.of(request, order.plan().completionLimit()),
                        request.stream());
        AttemptId attempt = nextAttempt();
        ChatFlow flow = new ChatFlow(order.plan(), flowPorts(context, attempt, dispatcher, caller));
        exchange.onCallerGone(() -> flow.onCallerGone(mDependencies.clock().nowMs()));
        exchange.onWritable(flow::onCallerWritable);
        flow.start(nowMs);
    }

    @Override
    public void service(
            long nowMs, AdmittedServiceCall order, HttpExchange exchange, CallerPort caller) {
        RequestContext context =
                new RequestContext(
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
        ServiceDispatcher dispatcher =
                new ServiceDispatcher(
                        mDependencies.upstreams(),
                        order.key().request().value(),
                        routingQuery(context, PrefixDigests.none()),
                        order.call(),
                        order.plan().repeatable());
        AttemptId attempt = nextAttempt();
        LedgerClaimPort claim =
                new LedgerClaimPort(
                        mDependencies.requests(),
                        order.key(),
                        attempt,
                        nowMs,
                        mDependencies.timers(),
                        mDependencies.settings().billWaitMs());
        ServiceFlow flow =
                new ServiceFlow(
                        order.plan(), flowPorts(context, attempt, dispatcher, caller), claim);
        exchange.onCallerGone(() -> flow.onCallerGone(mDependencies.clock().nowMs()));
        flow.start(nowMs);
    }

    private AttemptId nextAttempt() {
        return new AttemptId(mDependencies.vm(), mAttemptCount.incrementAndGet());
    }

    private static RoutingQuery routingQuery(RequestContext context, PrefixDigests prefix) {
        return new RoutingQuery(
                context.target(),
                context.key().organisation(),
                context.caller().terms().priority(),
                prefix,
                Set.of(),
                context.deadline());
    }

    private FlowPorts flowPorts(
            RequestContext context, AttemptId attempt, UpstreamPort dispatcher, CallerPort caller) {
        LedgerBudgetPort budget =
                new LedgerBudgetPort(
                        mDependencies.budgets(),
                        context.budget(),
                        context.key().request(),
                        mDependencies.settings().grantWaitMs());
        LedgerBillPort bill =
                new LedgerBillPort(
                        mDependencies.requests(),
                        context.key(),
                        context.budget().budget(),
                        attempt,
                        context.nowMs(),
                        new LedgerBillPort.DurabilityWait(
                                mDependencies.timers(),
                                mDependencies.settings().billWaitMs(),
                                budget::refundLate));
        mRunning.incrementAndGet();
        FlowRecorder recorder =
                new FlowRecorder(
                        mDependencies.metrics(),
                        context.kind(),
                        context.key().organisation(),
                        context.key().request(),
                        context.nowMs(),
                        dispatcher::lastUpstream,
                        mRunning::decrementAndGet);
        return new FlowPorts(
                requestGate(context),
                budget,
                bill,
                dispatcher,
                caller,
                mDependencies.timers(),
                recorder);
    }

    private RequestGate requestGate(RequestContext context) {
        return new RequestGate(
                mDependencies.limits(),
                mDependencies.queues().queue(context.target()),
                new AdmissionRequest(
                        context.key().organisation(),
                        context.caller().terms().priority(),
                        1,
                        Math.max(1, context.cost()),
                        context.deadline()));
    }
}
