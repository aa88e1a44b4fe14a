package org.hornbeampass.router.front;

import org.hornbeampass.router.flow.ServicePlan;
import org.hornbeampass.router.upstream.ServiceCall;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.requests.RequestKey;

/**
 * A call to a plain service that may be made: the caller is known, and the terms of the caller's
 * organisation allow the call.
 *
 * <p>Immutable, provided that nobody changes the array of the body. Safe for use by any thread.
 *
 * @param key the request's key
 * @param caller the organisation that sent it, with its terms
 * @param budget the budget on whose statement the call is listed
 * @param call the call to send to an instance of the service
 * @param plan the deadline, and whether the call may be repeated
 */
public record AdmittedServiceCall(
        RequestKey key,
        ServingConfig.Caller caller,
        BudgetKey budget,
        ServiceCall call,
        ServicePlan plan) {}
