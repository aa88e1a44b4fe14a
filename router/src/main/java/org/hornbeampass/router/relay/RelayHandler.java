package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;

/**
 * Starts a {@link RelayCall} for each request.
 *
 * <p>Confined to one event loop.
 */
public final class RelayHandler implements CallerHandler {
    private final RelayContext mContext;

    /** Creates the handler of one VM. */
    public RelayHandler(RelayContext context) {
        mContext = context;
    }

    @Override
    public CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head) {
        RelayCall call = new RelayCall(mContext, caller, head, nowMs);
        call.start(nowMs);
        return call;
    }
}
