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
 * Handles the HTTP requests of callers: dispatches by path, checks the request and passes it to the
 * {@link RequestRunner}.
 *
 * <p>A VM that does not accept new requests refuses them as not run, lists the addresses of other
 * VMs, and has the connection closed; it still answers queries for addresses. Thread-safe.
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
     * Creates a handler.
     *
     * @param admission checks requests
     * @param config provides the configuration in force
     * @param runner runs requests
     * @param addresses provides the addresses that callers should use
     * @param readiness decides whether new requests are accepted
     * @param metricsText provides the metrics page
     * @param onRefused called for each refusal before a request runs, which the runner can't count
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
            case "/v1/chat/completions" ->
                    requireMethod("POST", exchange, () -> chat(nowMs, exchange));
            case "/v1/models" -> requireMethod("GET", exchange, () -> models(exchange));
            case "/v1/addresses" ->
                    requireMethod("GET", exchange, () -> addresses(nowMs, exchange));
            case "/healthz" -> requireMethod("GET", exchange, () -> text(exchange, "ok\n"));
            case "/readyz" -> requireMethod("GET", exchange, () -> ready(exchange));
            case "/metrics" -> requireMethod("GET", exchange, () -> metrics(exchange));
            default -> handleOtherPath(nowMs, path, exchange);
        }
    }

    private void handleOtherPath(long nowMs, String path, HttpExchange exchange) {
        if (path.startsWith(SERVICES) && path.length() > SERVICES.length()) {
            service(nowMs, exchange);
            return;
        }
        refuse(
                exchange,
                Failure.of(
                        ErrorKind.NOT_FOUND,
                        "this path does not exist; use /v1/chat/completions, /v1/models,"
                                + " /v1/addresses or /v1/services/NAME/…"));
    }

    private void requireMethod(String method, HttpExchange exchange, Runnable action) {
        if (method.equals(exchange.method())) {
            action.run();
            return;
        }
        refuse(
                exchange,
                Failure.of(
                        ErrorKind.METHOD_NOT_ALLOWED,
                        exchange.method() + " is not allowed at this path; use " + method));
    }

    private void chat(long nowMs, HttpExchange exchange) {
        if (refuseIfNotReady(nowMs, exchange)) {
            return;
        }
        Either<Failure, AdmittedChat> admitted = mAdmission.chat(nowMs, exchange, mConfig.get());
        if (admitted.isLeft()) {
            refuse(exchange, admitted.getLeft());
            return;
        }
        mRunner.chat(
                nowMs,
                admitted.get(),
                exchange,
                new HttpCallerPort(exchange, admitted.get().key().request().value()));
    }

    private void service(long nowMs, HttpExchange exchange) {
        if (refuseIfNotReady(nowMs, exchange)) {
            return;
        }
        Either<Failure, AdmittedServiceCall> admitted =
                mAdmission.service(nowMs, exchange, mConfig.get());
        if (admitted.isLeft()) {
            refuse(exchange, admitted.getLeft());
            return;
        }
        mRunner.service(
                nowMs,
                admitted.get(),
                exchange,
                new HttpCallerPort(exchange, admitted.get().key().request().value()));
    }

    private boolean refuseIfNotReady(long nowMs, HttpExchange exchange) {
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

    /** One model in the format of the OpenAI API. */
    private record Model(String id, String object, long created, String owned_by) {}

    /** The list of models in the format of the OpenAI API. */
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
                        nonBlankQuery(exchange, "domain").map(FailureDomain::new),
                        nonBlankQuery(exchange, "region").map(Region::new));
        AddressAnswer answer = mAddresses.answer(nowMs, query);
        json(
                exchange,
                answer,
                Map.of("cache-control", "max-age=" + Math.max(1, answer.keepMs() / 1000)));
    }

    private static Optional<String> nonBlankQuery(HttpExchange exchange, String parameter) {
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

    private static void json(
            HttpExchange exchange, Object value, Map<String, String> extraHeaders) {
        Map<String, String> headers = new HashMap<>(extraHeaders);
        headers.put("content-type", "application/json");
        exchange.respond(200, headers, Json.encode(value).getBytes(StandardCharsets.UTF_8));
    }
}
