package org.hornbeampass.router.admin;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Handles the operators' requests: checks the key, limits the body's size and selects the endpoint.
 *
 * <p>Invariants: a request without an operator's key learns nothing, not even which paths exist;
 * callers' keys are not accepted as operators' keys. Thread-safe: endpoints hold no state of their
 * own.
 */
public final class AdminHandler implements HttpHandler {
    private static final int MAX_PATH = 1024;

    private final OperatorKeys mKeys;
    private final List<AdminRoute> mRoutes;

    /**
     * Creates the handler.
     *
     * @param ports the parts of the router that the endpoints use
     * @param keys the operators' keys
     * @param random the source of random bits for callers' new keys
     */
    public AdminHandler(AdminPorts ports, OperatorKeys keys, SecureRandom random) {
        mKeys = keys;
        mRoutes = routes(ports, new KeyGenerator(random));
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        AdminReply reply = new AdminReply(exchange);
        Optional<String> operator = mKeys.operator(exchange.header(AdminPaths.AUTHORIZATION));
        if (operator.isEmpty()) {
            reply.sendFailure(
                    Failure.of(
                            ErrorKind.KEY_MISSING_OR_UNKNOWN,
                            "no known operator's key in the header Authorization: Bearer KEY;"
                                    + " callers' keys are not accepted here"));
            return;
        }
        if (exchange.body().length > AdminPaths.MAX_BODY_BYTES) {
            reply.sendFailure(
                    Failure.of(
                            ErrorKind.REQUEST_TOO_LARGE,
                            "the body has "
                                    + exchange.body().length
                                    + " bytes; the limit is "
                                    + AdminPaths.MAX_BODY_BYTES));
            return;
        }
        dispatch(nowMs, exchange, operator.get(), reply);
    }

    private void dispatch(long nowMs, HttpExchange exchange, String operator, AdminReply reply) {
        String path = exchange.path();
        TreeSet<String> methods = new TreeSet<>();
        for (AdminRoute route : path.length() > MAX_PATH ? List.<AdminRoute>of() : mRoutes) {
            Optional<List<String>> variables = route.match(path);
            if (variables.isEmpty()) {
                continue;
            }
            if (route.method().equals(exchange.method())) {
                route.endpoint()
                        .handle(
                                new AdminRequest(nowMs, exchange, operator, variables.get()),
                                reply);
                return;
            }
            methods.add(route.method());
        }
        reply.sendFailure(
                methods.isEmpty()
                        ? unknownPath(path)
                        : methodNotAllowed(exchange.method(), methods));
    }

    private static Failure unknownPath(String path) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "nothing is at "
                        + AdminChecks.shortened(path)
                        + "; docs/CLI.md lists the paths below "
                        + AdminPaths.ROOT);
    }

    private static Failure methodNotAllowed(String method, Set<String> methods) {
        return Failure.of(
                ErrorKind.METHOD_NOT_ALLOWED,
                method + " is not allowed on this path; use " + String.join(" or ", methods));
    }

    private static List<AdminRoute> routes(AdminPorts ports, KeyGenerator keyGenerator) {
        ConfigurationPort configuration = ports.configuration();
        ConfigChanges changes = new ConfigChanges(configuration);
        AccountReader reader = new AccountReader(configuration, ports.accounts());
        KeyEndpoints keys = new KeyEndpoints(configuration, changes, keyGenerator);
        List<AdminRoute> routes = new ArrayList<>();
        routes.addAll(new TemplateEndpoints(configuration, changes).routes());
        routes.addAll(new OrganisationEndpoints(configuration, changes, keys).routes());
        routes.addAll(keys.routes());
        routes.addAll(new UpstreamEndpoints(configuration, changes).routes());
        routes.addAll(new BudgetEndpoints(ports, changes, reader).routes());
        routes.addAll(new BillingEndpoints(ports.billing(), reader).routes());
        routes.addAll(new FleetEndpoints(ports.fleet(), ports.burn()).routes());
        return List.copyOf(routes);
    }
}
