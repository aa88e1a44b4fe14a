package org.hornbeampass.router.front;

import org.hornbeampass.router.flow.ServicePlan;
import org.hornbeampass.router.upstream.ServiceCall;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.requests.RequestKey;

/**
 * A call to a plain service that may be made: its caller is known and its terms allow it.
 *
 * <p>Immutable once made: the body is not changed. Safe for use by any thread.
 *
 * @param key the request's key
 * @param caller who sent it
 * @param budget the budget on whose statement it stands
 * @param call what is to be sent
 * @param plan how it is to be run
 */
public record AdmittedServiceCall(
        RequestKey key,
        ServingConfig.Caller caller,
        BudgetKey budget,
        ServiceCall call,
        ServicePlan plan) {}
