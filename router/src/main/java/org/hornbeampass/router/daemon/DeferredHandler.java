package org.hornbeampass.router.daemon;

import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.util.Optional;

/**
 * Forwards requests to a handler that is set later, and answers "not ready" until then. A listener
 * starts before the components that need its address.
 *
 * <p>Thread-safe.
 */
final class DeferredHandler implements HttpHandler {
    private volatile Optional<HttpHandler> mHandler = Optional.empty();

    void set(HttpHandler handler) {
        mHandler = Optional.of(handler);
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        Optional<HttpHandler> handler = mHandler;
        if (handler.isPresent()) {
            handler.get().handle(nowMs, exchange);
            return;
        }
        ErrorAnswer answer =
                ErrorAnswer.of(Failure.of(ErrorKind.NOT_READY, "the router is starting; retry"));
        exchange.respond(answer.status(), answer.headers(), answer.body());
    }
}
