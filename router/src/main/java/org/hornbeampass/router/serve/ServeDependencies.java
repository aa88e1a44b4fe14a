package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.limit.OrganisationLimits;
import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.upstream.AttemptContext;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;

/**
 * The components of one VM that are needed to serve requests.
 *
 * <p>Immutable; the components are thread-safe.
 *
 * @param vm the id of this VM
 * @param budgets reserves and settles prepaid tokens
 * @param requests records bills and claims
 * @param limits enforces the limits of organisations
 * @param queues holds the admission queues of the targets
 * @param upstreams sends attempts
 * @param timers runs timers
 * @param metrics counts requests, bills and tokens
 * @param clock returns the present time
 * @param settings limits how long, and how many, requests wait
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
