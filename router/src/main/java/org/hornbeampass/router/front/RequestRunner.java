package org.hornbeampass.router.front;

import org.hornbeampass.router.flow.CallerPort;
import org.hornbeampass.transport.http.HttpExchange;

/**
 * Runs requests that may be served.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface RequestRunner {
    /**
     * Runs a chat completion.
     *
     * @param nowMs the present time in milliseconds
     * @param order the request
     * @param exchange tells when the caller goes away and when it catches up
     * @param caller answered exactly once
     */
    void chat(long nowMs, AdmittedChat order, HttpExchange exchange, CallerPort caller);

    /** Runs a call to a plain service; the parameters are as for {@link #chat}. */
    void service(long nowMs, AdmittedServiceCall order, HttpExchange exchange, CallerPort caller);
}
