package org.hornbeampass.standin.admin;

import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Hands each request to the handler of its method and path; 404 where there is none.
 *
 * <p>A pattern that ends in a slash takes all paths below it, another just itself. The routes are
 * added before the server starts; thread-safe after that.
 */
public final class Routes implements HttpHandler {
    private final List<Route> mRoutes = new ArrayList<>();

    /** One route. */
    private record Route(String method, String pattern, HttpHandler handler) {
        boolean takes(HttpExchange exchange) {
            String path = exchange.path();
            boolean fits = pattern.endsWith("/") ? path.startsWith(pattern) : path.equals(pattern);
            return fits && method.equals(exchange.method());
        }
    }

    /** Adds a route; earlier ones go first. */
    public Routes add(String method, String pattern, HttpHandler handler) {
        mRoutes.add(new Route(method, pattern, handler));
        return this;
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        Optional<Route> route = mRoutes.stream().filter(r -> r.takes(exchange)).findFirst();
        if (route.isEmpty()) {
            Answers.error(
                    exchange,
                    Answers.NOT_FOUND,
                    "no route for " + exchange.method() + " " + exchange.path());
            return;
        }
        route.get().handler().handle(nowMs, exchange);
    }

    /** Returns what follows a pattern in the path. */
    public static String below(String pattern, HttpExchange exchange) {
        return exchange.path().substring(pattern.length());
    }
}
