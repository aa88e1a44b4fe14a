package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.router.flow.AttemptListener;
import org.hornbeampass.router.flow.RelayProgress;

/**
 * Sends the attempts of one call to a plain service.
 *
 * <p>Not thread-safe: confined to the call's flow.
 */
public final class ServiceDispatcher extends UpstreamDispatcher {
    private final ServiceCall mCall;
    private final boolean mRepeatable;

    /**
     * Creates the dispatcher of one call.
     *
     * @param context what all attempts share
     * @param requestId the request's id
     * @param query the required service and the constraints on the choice of an upstream
     * @param call what is sent
     * @param repeatable whether the call may run more than once
     */
    public ServiceDispatcher(
            AttemptContext context,
            String requestId,
            RoutingQuery query,
            ServiceCall call,
            boolean repeatable) {
        super(context, requestId, repeatable, query);
        mCall = call;
        mRepeatable = repeatable;
    }

    @Override
    HttpAttempt newAttempt(
            UpstreamChoice choice, int number, RelayProgress relayed, AttemptListener listener) {
        return new ServiceAttempt(context(), choice, number, listener, mRepeatable);
    }

    @Override
    String method() {
        return mCall.method();
    }

    @Override
    String target() {
        return mCall.target();
    }

    @Override
    String contentType() {
        return mCall.contentType();
    }

    @Override
    byte[] body() {
        return mCall.body();
    }
}
