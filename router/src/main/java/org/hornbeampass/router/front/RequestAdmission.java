package org.hornbeampass.router.front;

import io.vavr.control.Either;

import org.hornbeampass.protocol.openai.ChatRequest;
import org.hornbeampass.protocol.openai.ChatRequestParser;
import org.hornbeampass.router.flow.ChatPlan;
import org.hornbeampass.router.flow.JsonText;
import org.hornbeampass.router.flow.ServicePlan;
import org.hornbeampass.router.upstream.ServiceCall;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.OrganisationTerms;
import org.hornbeampass.state.config.WorkKind;
import org.hornbeampass.state.requests.RequestKey;
import org.hornbeampass.transport.http.HttpExchange;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides whether a request may be served, by its API key, its format and the terms of the caller's
 * organisation.
 *
 * <p>Has no side effects besides using up generated ids, so a refused request has changed nothing.
 * Thread-safe.
 */
public final class RequestAdmission {
    private static final String SERVICES = "/v1/services/";

    private final RequestLimits mLimits;
    private final ChatRequestParser mParser;
    private final RequestIds mIds;

    /** Creates the checks of one VM; its name and incarnation go into the ids of requests. */
    public RequestAdmission(VmId vm, RequestLimits limits) {
        mLimits = limits;
        mParser = new ChatRequestParser(limits.chat());
        mIds = new RequestIds(vm);
    }

    /** Returns the chat completion to serve, or the reason to refuse it. */
    public Either<Failure, AdmittedChat> chat(
            long nowMs, HttpExchange exchange, ServingConfig config) {
        return RequestHead.read(nowMs, exchange, config, mLimits)
                .flatMap(
                        head ->
                                mParser.parse(exchange.body())
                                        .flatMap(r -> chat(nowMs, head, r, exchange, config)));
    }

    private Either<Failure, AdmittedChat> chat(
            long nowMs,
            RequestHead head,
            ChatRequest request,
            HttpExchange exchange,
            ServingConfig config) {
        OrganisationTerms terms = head.caller().terms();
        Optional<Failure> refusal = chatRefusal(terms, request, config);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        RequestKey key =
                mIds.key(nowMs, head.caller().spec().id(), head.idempotencyKey(), exchange.body());
        ChatPlan plan =
                new ChatPlan(
                        request.stream(),
                        request.includeUsage(),
                        request.promptTokensBound(),
                        request.maxCompletionTokens().orElse(terms.maxCompletionTokens()),
                        head.deadlineMs(),
                        JsonText.quote("chatcmpl-" + key.request()),
                        request.model().value());
        return Either.right(new AdmittedChat(key, head.caller(), head.budget(), request, plan));
    }

    private static Optional<Failure> chatRefusal(
            OrganisationTerms terms, ChatRequest request, ServingConfig config) {
        if (!terms.workKinds().contains(WorkKind.CHAT)) {
            return notPermitted("your organisation's terms do not allow chat completions");
        }
        if (!terms.models().contains(request.model()) || !config.hasModel(request.model())) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.MODEL_UNKNOWN,
                            "field model is \""
                                    + request.model()
                                    + "\", which your organisation can't use; GET /v1/models lists"
                                    + " the models that it can use"));
        }
        if (request.adapter().isPresent() && !terms.adapters().contains(request.adapter().get())) {
            return notPermitted(
                    "field adapter is \""
                            + request.adapter().get()
                            + "\", which is not among your organisation's adapters");
        }
        int limit = request.maxCompletionTokens().orElse(0);
        return limit > terms.maxCompletionTokens()
                ? Optional.of(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "the token limit is "
                                        + limit
                                        + "; your organisation's terms allow at most "
                                        + terms.maxCompletionTokens()))
                : Optional.empty();
    }

    /** Returns the service call to make, or the reason to refuse it. */
    public Either<Failure, AdmittedServiceCall> service(
            long nowMs, HttpExchange exchange, ServingConfig config) {
        return RequestHead.read(nowMs, exchange, config, mLimits)
                .flatMap(head -> service(nowMs, head, exchange, config));
    }

    private Either<Failure, AdmittedServiceCall> service(
            long nowMs, RequestHead head, HttpExchange exchange, ServingConfig config) {
        String rest = exchange.path().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        if (!head.caller().terms().services().contains(name) || !config.hasService(name)) {
            return Either.left(
                    Failure.of(
                            ErrorKind.NOT_FOUND,
                            "service \""
                                    + name
                                    + "\" does not exist or your organisation may not call it"));
        }
        return workKind(head.caller().terms(), exchange)
                .map(
                        kind -> {
                            ServiceCall call =
                                    new ServiceCall(
                                            name,
                                            exchange.method(),
                                            target(exchange),
                                            exchange.header("content-type")
                                                    .orElse("application/octet-stream"),
                                            exchange.body());
                            return admitService(
                                    nowMs, head, call, kind == WorkKind.SERVICE_REPEATABLE);
                        });
    }

    /** Returns the path and query after the name of the service, without decoding them. */
    private static String target(HttpExchange exchange) {
        String raw = exchange.rawTarget();
        int start = raw.indexOf(SERVICES);
        String rest = start < 0 ? "" : raw.substring(start + SERVICES.length());
        int slash = rest.indexOf('/');
        int query = rest.indexOf('?');
        if (slash >= 0 && (query < 0 || slash < query)) {
            return rest.substring(slash);
        }
        return query < 0 ? "/" : "/" + rest.substring(query);
    }

    private AdmittedServiceCall admitService(
            long nowMs, RequestHead head, ServiceCall call, boolean repeatable) {
        RequestKey key =
                mIds.key(
                        nowMs, head.caller().spec().id(), head.idempotencyKey(), digestInput(call));
        return new AdmittedServiceCall(
                key,
                head.caller(),
                head.budget(),
                call,
                new ServicePlan(repeatable, head.deadlineMs()));
    }

    private static byte[] digestInput(ServiceCall call) {
        ByteArrayOutputStream content = new ByteArrayOutputStream(call.body().length + 64);
        String start = call.method() + " " + call.service() + call.target() + "\n";
        content.writeBytes(start.getBytes(StandardCharsets.UTF_8));
        content.writeBytes(call.body());
        return content.toByteArray();
    }

    /**
     * Returns the kind of work of a call. By default a GET is repeatable if the terms allow it, and
     * any other call only if the terms allow no other kind of service call. The caller can choose
     * the kind with the header {@code x-work-kind}.
     */
    private static Either<Failure, WorkKind> workKind(
            OrganisationTerms terms, HttpExchange exchange) {
        boolean allowsOnce = terms.workKinds().contains(WorkKind.SERVICE_ONCE);
        boolean allowsRepeatable = terms.workKinds().contains(WorkKind.SERVICE_REPEATABLE);
        WorkKind defaultKind =
                allowsRepeatable && ("GET".equals(exchange.method()) || !allowsOnce)
                        ? WorkKind.SERVICE_REPEATABLE
                        : WorkKind.SERVICE_ONCE;
        Optional<String> header = exchange.header("x-work-kind");
        Optional<WorkKind> requested =
                header.map(RequestAdmission::parseKind).orElse(Optional.of(defaultKind));
        if (requested.isEmpty()) {
            return Either.left(
                    Failure.of(
                            ErrorKind.FIELD_INVALID,
                            "header x-work-kind is not a kind of service call; give"
                                    + " service_repeatable or service_once"));
        }
        return terms.workKinds().contains(requested.get())
                ? Either.right(requested.get())
                : Either.left(
                        Failure.of(
                                ErrorKind.NOT_PERMITTED,
                                "calls of kind "
                                        + requested.get().name().toLowerCase(Locale.ROOT)
                                        + " are not allowed by your organisation's terms"));
    }

    private static Optional<WorkKind> parseKind(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "service_repeatable" -> Optional.of(WorkKind.SERVICE_REPEATABLE);
            case "service_once" -> Optional.of(WorkKind.SERVICE_ONCE);
            default -> Optional.empty();
        };
    }

    private static Optional<Failure> notPermitted(String message) {
        return Optional.of(Failure.of(ErrorKind.NOT_PERMITTED, message));
    }
}
