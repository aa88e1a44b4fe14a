package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.AnswerIds;
import org.hornbeampass.transport.relay.UnrequestedInput;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Relates the answers that arrive on a connection to the request that was sent there, and logs
 * those that belong to another one or come a second time.
 *
 * <p>Confined to one event loop.
 */
final class RequestAnswers implements AnswerIds {
    private final RelayContext mContext;
    private final String mRequestId;
    private final Supplier<LogFields> mSender;

    /**
     * Creates the relation of one send.
     *
     * @param context what all requests of the VM share
     * @param requestId the id that the caller sent
     * @param sender returns the fields that name the other end of the connection in a log line
     */
    RequestAnswers(RelayContext context, String requestId, Supplier<LogFields> sender) {
        mContext = context;
        mRequestId = requestId;
        mSender = sender;
    }

    @Override
    public String requestId() {
        return mRequestId;
    }

    @Override
    public Optional<String> idOf(HttpResponse head) {
        return mContext.wire().answerId(head);
    }

    @Override
    public void onUnrequested(
            long nowMs, HttpResponse head, AnswerFraming framing, UnrequestedInput where) {
        LogFields fields =
                mSender.get()
                        .add("found", where.logName())
                        .add("answer_id", idOf(head).orElse(""))
                        .add("status", head.status().code())
                        .add("framing", framing.logName());
        mContext.log().logUnrelatedAnswer(nowMs, mRequestId, where, fields);
    }
}
