package org.hornbeampass.router.front;

import io.vavr.control.Either;

import org.hornbeampass.coordination.address.AddressAnswer;
import org.hornbeampass.coordination.address.AddressBook;
import org.hornbeampass.coordination.address.AddressQuery;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.Region;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What callers meet: finds the path, checks the request, and hands it on.
 *
 * <p>A VM that does not take new requests refuses them as not run, names other addresses, and has
 * the connection closed; it still answers questions for addresses. Thread-safe.
 */
public final class CallerHttpHandler implements HttpHandler {
    private static final String SERVICES = "/v1/services/";
    private static final String ADDRESSES_HEADER = "x-hornbeampass-addresses";

    private final RequestAdmission mAdmission;
    private final Supplier<ServingConfig> mConfig;
    private final RequestRunner mRunner;
    private final AddressBook mAddresses;
    private final Readiness mReadiness;
    private final Supplier<byte[]> mMetricsText;
    private final Consumer<ErrorKind> mOnRefused;

    /**
     * Makes the front door.
     *
     * @param admission checks requests
     * @param config gives the configuration in force
     * @param runner runs requests
     * @param addresses answers which addresses to use
     * @param readiness tells whether new requests are taken
     * @param metricsText gives the metrics page
     * @param onRefused told of each refusal that no flow counts
     */
    public CallerHttpHandler(
            RequestAdmission admission,
            Supplier<ServingConfig> config,
            RequestRunner runner,
            AddressBook addresses,
            Readiness readiness,
            Supplier<byte[]> metricsText,
            Consumer<ErrorKind> onRefused) {
        mAdmission = admission;
        mConfig = config;
        mRunner = runner;
        mAddresses = addresses;
        mReadiness = readiness;
        mMetricsText = metricsText;
        mOnRefused = onRefused;
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        String path = exchange.path();
        switch (path) {
            case "/v1/chat/completions" -> onlyFor("POST", exchange, () -> chat(nowMs, exchange));
            case "/v1/models" -> onlyFor("GET", exchange, () -> models(exchange));
            case "/v1/addresses" -> onlyFor("GET", exchange, () -> addresses(nowMs, exchange));
            case "/healthz" -> onlyFor("GET", exchange, () -> text(exchange, "ok\n"));
            case "/readyz" -> onlyFor("GET", exchange, () -> ready(exchange));
            case "/metrics" -> onlyFor("GET", exchange, () -> metrics(exchange));
            default -> other(nowMs, path, exchange);
        }
    }

    private void other(long nowMs, String path, HttpExchange exchange) {
        if (path.startsWith(SERVICES) && path.length() > SERVICES.length()) {
            service(nowMs, exchange);
            return;
        }
        refuse(
                exchange,
                Failure.of(
                        ErrorKind.NOT_FOUND,
                        "nothing is at this path; use /v1/chat/completions, /v1/models,"
                                + " /v1/addresses or /v1/services/NAME/…"));
    }

    private void onlyFor(String method, HttpExchange exchange, Runnable action) {
        if (method.equals(exchange.method())) {
            action.run();
            return;
        }
        refuse(
                exchange,
                Failure.of(
                        ErrorKind.METHOD_NOT_ALLOWED,
                        exchange.method() + " is not possible here; use " + method));
    }

    private void chat(long nowMs, HttpExchange exchange) {
        if (refusedAsNotReady(nowMs, exchange)) {
            return;
        }
        Either<Failure, AdmittedChat> order = mAdmission.chat(nowMs, exchange, mConfig.get());
        if (order.isLeft()) {
            refuse(exchange, order.getLeft());
            return;
        }
        mRunner.chat(
                nowMs,
                order.get(),
                exchange,
                new HttpCallerPort(exchange, order.get().key().request().value()));
    }

    private void service(long nowMs, HttpExchange exchange) {
        if (refusedAsNotReady(nowMs, exchange)) {
            return;
        }
        Either<Failure, AdmittedServiceCall> order =
                mAdmission.service(nowMs, exchange, mConfig.get());
        if (order.isLeft()) {
            refuse(exchange, order.getLeft());
            return;
        }
        mRunner.service(
                nowMs,
                order.get(),
                exchange,
                new HttpCallerPort(exchange, order.get().key().request().value()));
    }

    private boolean refusedAsNotReady(long nowMs, HttpExchange exchange) {
        Optional<Failure> refusal = mReadiness.refusal();
        if (refusal.isEmpty()) {
            return false;
        }
        mOnRefused.accept(refusal.get().kind());
        ErrorAnswer answer = ErrorAnswer.of(refusal.get());
        Map<String, String> headers = new HashMap<>(answer.headers());
        headers.put("connection", "close");
        List<String> others =
                mAddresses.answer(nowMs, AddressQuery.any()).addresses().stream()
                        .map(AddressAnswer.VmAddress::httpAddress)
                        .toList();
        headers.put(ADDRESSES_HEADER, String.join(",", others));
        exchange.respond(answer.status(), headers, answer.body());
        return true;
    }

    private void refuse(HttpExchange exchange, Failure failure) {
        mOnRefused.accept(failure.kind());
        new HttpCallerPort(exchange, "").fail(failure);
    }

    /** One model as OpenAI clients read it. */
    private record Model(String id, String object, long created, String owned_by) {}

    /** The list of models as OpenAI clients read it. */
    private record ModelList(String object, List<Model> data) {}

    private void models(HttpExchange exchange) {
        ServingConfig config = mConfig.get();
        Optional<ServingConfig.Caller> caller = config.caller(exchange.header("authorization"));
        if (caller.isEmpty()) {
            refuse(exchange, RequestHead.unknownKey());
            return;
        }
        List<Model> models =
                caller.get().terms().models().stream()
                        .filter(config::hasModel)
                        .sorted()
                        .map(m -> new Model(m.value(), "model", 0, "hornbeampass"))
                        .toList();
        json(exchange, new ModelList("list", models), Map.of());
    }

    private void addresses(long nowMs, HttpExchange exchange) {
        ServingConfig config = mConfig.get();
        AddressQuery query =
                new AddressQuery(
                        config.caller(exchange.header("authorization")).map(c -> c.spec().id()),
                        named(exchange, "domain").map(FailureDomain::new),
                        named(exchange, "region").map(Region::new));
        AddressAnswer answer = mAddresses.answer(nowMs, query);
        json(
                exchange,
                answer,
                Map.of("cache-control", "max-age=" + Math.max(1, answer.keepMs() / 1000)));
    }

    private static Optional<String> named(HttpExchange exchange, String parameter) {
        return exchange.query(parameter).filter(value -> !value.isBlank());
    }

    private void ready(HttpExchange exchange) {
        Optional<Failure> refusal = mReadiness.refusal();
        if (refusal.isPresent()) {
            new HttpCallerPort(exchange, "").fail(refusal.get());
        } else {
            text(exchange, "ready\n");
        }
    }

    private void metrics(HttpExchange exchange) {
        exchange.respond(
                200, Map.of("content-type", "text/plain; version=0.0.4"), mMetricsText.get());
    }

    private static void text(HttpExchange exchange, String text) {
        exchange.respond(
                200, Map.of("content-type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
    }

    private static void json(HttpExchange exchange, Object value, Map<String, String> more) {
        Map<String, String> headers = new HashMap<>(more);
        headers.put("content-type", "application/json");
        exchange.respond(200, headers, Json.encode(value).getBytes(StandardCharsets.UTF_8));
    }
}
