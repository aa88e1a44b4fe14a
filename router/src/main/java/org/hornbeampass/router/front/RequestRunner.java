package org.hornbeampass.router.front;

import org.hornbeampass.router.flow.CallerPort;
import org.hornbeampass.transport.http.HttpExchange;

/**
 * Runs admitted requests.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface RequestRunner {
    /**
     * Runs a chat completion.
     *
     * @param nowMs the present time in milliseconds since 1970
     * @param request the admitted request
     * @param exchange reports when the caller disconnects and when its connection is writable again
     * @param caller receives exactly one answer
     */
    void chat(long nowMs, AdmittedChat request, HttpExchange exchange, CallerPort caller);

    /** Runs a call to a plain service; the parameters are as for {@link #chat}. */
    void service(long nowMs, AdmittedServiceCall request, HttpExchange exchange, CallerPort caller);
}
