package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.limit.OrganisationLimits;
import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.upstream.AttemptContext;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;

/**
 * The parts of one VM that the serving of requests stands on.
 *
 * <p>Immutable; its parts are thread-safe.
 *
 * @param vm this VM
 * @param budgets holds prepaid tokens
 * @param requests bills and claims
 * @param limits holds organisations to their limits
 * @param queues queues requests for their targets
 * @param upstreams sends attempts
 * @param timers runs timers
 * @param metrics counts
 * @param clock the present time
 * @param settings waits
 */
public record ServeDependencies(
        VmId vm,
        BudgetLedger budgets,
        RequestLedger requests,
        OrganisationLimits limits,
        TargetQueues queues,
        AttemptContext upstreams,
        TimerPort timers,
        RouterMetrics metrics,
        Clock clock,
        ServeSettings settings) {}
