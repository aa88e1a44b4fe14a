package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.router.flow.AttemptListener;
import org.hornbeampass.router.flow.RelayProgress;

/**
 * Sends the attempts of one chat completion.
 *
 * <p>Not thread-safe: confined to the request's flow.
 */
public final class ChatDispatcher extends UpstreamDispatcher {
    private final byte[] mBody;
    private final boolean mStream;

    /**
     * Creates the dispatcher of one request.
     *
     * @param context what all attempts share
     * @param requestId the request's id
     * @param query the required model and the constraints on the choice of an upstream
     * @param body the body that is sent
     * @param stream whether the answer is streamed
     */
    public ChatDispatcher(
            AttemptContext context,
            String requestId,
            RoutingQuery query,
            byte[] body,
            boolean stream) {
        super(context, requestId, true, query);
        mBody = body;
        mStream = stream;
    }

    @Override
    HttpAttempt newAttempt(
            UpstreamChoice choice, int number, RelayProgress relayed, AttemptListener listener) {
        return mStream
                ? new ChatStreamAttempt(context(), choice, number, listener, relayed.tokens())
                : new HttpAttempt(context(), choice, number, listener, AnswerKind.SINGLE_PART);
    }

    @Override
    String method() {
        return "POST";
    }

    @Override
    String target() {
        return "/v1/chat/completions";
    }

    @Override
    String contentType() {
        return "application/json";
    }

    @Override
    byte[] body() {
        return mBody;
    }
}
