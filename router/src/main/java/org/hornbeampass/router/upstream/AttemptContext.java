package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.coordination.routing.UpstreamChooser;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;

/**
 * The services and settings that all attempts of one VM share.
 *
 * <p>Immutable; its components are thread-safe.
 *
 * @param vm this VM
 * @param table the states of upstreams
 * @param chooser chooses the upstream of each attempt
 * @param retryPolicy decides what follows a failed attempt
 * @param retryBudget limits the number of retries
 * @param client sends requests
 * @param timers run the checks for silent attempts
 * @param clock the source of the present time
 * @param settings times and bounds
 */
public record AttemptContext(
        VmId vm,
        UpstreamTable table,
        UpstreamChooser chooser,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        HttpClient client,
        TimerPort timers,
        Clock clock,
        UpstreamSettings settings) {}
