package org.hornbeampass.router.front;

import org.hornbeampass.router.flow.ServicePlan;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.RequestId;

/**
 * A call to a plain service that may be made: its caller is known and its terms allow it.
 *
 * <p>Immutable once made: the body is not changed. Safe for use by any thread.
 *
 * @param id the request's id
 * @param caller who sent it
 * @param budget the budget on whose statement it stands
 * @param call what is to be sent
 * @param digest a digest of the call's method, path and body, in hex
 * @param plan how it is to be run
 */
public record ServiceOrder(
        RequestId id,
        ServingConfig.Caller caller,
        BudgetKey budget,
        Call call,
        String digest,
        ServicePlan plan) {
    /**
     * What is to be sent to an instance of the service.
     *
     * @param service the service's name
     * @param method the method
     * @param target the path below the service, with a leading slash
     * @param contentType the content type of the body
     * @param body the body
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Call(
            String service, String method, String target, String contentType, byte[] body) {}
}
