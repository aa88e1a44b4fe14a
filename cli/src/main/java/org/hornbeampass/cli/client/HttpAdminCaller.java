package org.hornbeampass.cli.client;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Calls the operators' API over HTTP, the servers in turn.
 *
 * <p>Invariant: a call that is not repeatable is never sent again once a byte of it may have left.
 * Thread-safe.
 */
public final class HttpAdminCaller implements AdminCaller {
    private static final int ROUNDS = 3;
    private static final long FIRST_PAUSE_MS = 200;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient mClient;
    private final List<String> mServers;
    private final String mKey;
    private final Duration mTimeout;
    private final Ticker mTicker;
    private final Consumer<String> mNotes;

    /**
     * Makes a caller.
     *
     * @param client the HTTP client
     * @param servers base addresses such as {@code http://127.0.0.1:9090}, at least one
     * @param key the operator's key
     * @param timeout how long one attempt may take
     * @param ticker the time
     * @param notes told of attempts that failed and are made again
     */
    public HttpAdminCaller(
            HttpClient client,
            List<String> servers,
            String key,
            Duration timeout,
            Ticker ticker,
            Consumer<String> notes) {
        mClient = client;
        mServers = List.copyOf(servers);
        mKey = key;
        mTimeout = timeout;
        mTicker = ticker;
        mNotes = notes;
    }

    /** What one attempt came to. */
    private record Attempt(
            Optional<HttpResponse<InputStream>> response,
            byte[] body,
            boolean sent,
            String reason) {}

    @Override
    public List<String> servers() {
        return mServers;
    }

    @Override
    public AdminCaller only(String server) {
        return new HttpAdminCaller(mClient, List.of(server), mKey, mTimeout, mTicker, mNotes);
    }

    @Override
    public <T> Either<Failure, AdminAnswer<T>> call(AdminCall call, Class<T> type) {
        boolean lost = false;
        Failure last = Failure.of(ErrorKind.NOT_READY, "no server was tried");
        for (int round = 0; round < ROUNDS; round++) {
            for (String server : mServers) {
                Attempt attempt = attempt(call, server);
                if (attempt.response().isEmpty()) {
                    if (attempt.sent() && !call.repeatable()) {
                        return Either.left(unknown(call, server, attempt.reason()));
                    }
                    lost |= attempt.sent();
                    last = unreachable(server, attempt.reason(), lost);
                    mNotes.accept(server + " did not answer (" + attempt.reason() + ")");
                    continue;
                }
                Either<Failure, AdminAnswer<T>> answer = answer(attempt, type, server, lost);
                if (answer.isRight() || !elsewhere(answer.getLeft().kind())) {
                    return answer;
                }
                last = answer.getLeft();
                mNotes.accept(server + ": " + last.message());
            }
            if (round + 1 < ROUNDS) {
                mTicker.pause(FIRST_PAUSE_MS << round);
            }
        }
        return Either.left(last);
    }

    private Attempt attempt(AdminCall call, String server) {
        try {
            HttpResponse<InputStream> response =
                    mClient.send(request(call, server), HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream in = response.body()) {
                byte[] body = in.readNBytes(MAX_ANSWER_BYTES + 1);
                return new Attempt(Optional.of(response), body, true, "");
            }
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Attempt(Optional.empty(), new byte[0], false, reason(e));
        } catch (IOException e) {
            return new Attempt(Optional.empty(), new byte[0], true, reason(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Attempt(Optional.empty(), new byte[0], true, "interrupted");
        }
    }

    private HttpRequest request(AdminCall call, String server) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(server + call.path()))
                        .timeout(mTimeout)
                        .header(AdminPaths.AUTHORIZATION, "Bearer " + mKey)
                        .method(
                                call.method(),
                                call.body().length == 0
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(call.body()));
        call.headers().forEach(builder::header);
        return builder.build();
    }

    private static <T> Either<Failure, AdminAnswer<T>> answer(
            Attempt attempt, Class<T> type, String server, boolean lost) {
        HttpResponse<InputStream> response = attempt.response().orElseThrow();
        if (attempt.body().length > MAX_ANSWER_BYTES) {
            return Either.left(
                    Failure.of(
                            ErrorKind.INTERNAL,
                            server + " answered more than " + MAX_ANSWER_BYTES + " bytes"));
        }
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            return Either.left(ErrorBody.failure(response.statusCode(), attempt.body(), server));
        }
        long age = response.headers().firstValueAsLong(AdminPaths.AGE).orElse(0);
        return AdminJson.readAnswer(attempt.body(), type)
                .map(value -> new AdminAnswer<>(value, age, server, lost));
    }

    private static boolean elsewhere(ErrorKind kind) {
        return kind == ErrorKind.NOT_READY || kind == ErrorKind.SHUTTING_DOWN;
    }

    private static Failure unreachable(String server, String reason, boolean lost) {
        return Failure.of(
                lost ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NOT_READY,
                "no server answered, the last was "
                        + server
                        + " ("
                        + reason
                        + "); check --server, or give it again for further routers");
    }

    private static Failure unknown(AdminCall call, String server, String reason) {
        return Failure.of(
                ErrorKind.OUTCOME_UNKNOWN,
                server
                        + " did not answer "
                        + call.method()
                        + " "
                        + call.path()
                        + " ("
                        + reason
                        + "); it may have taken effect: look with `show` or `list` before it is"
                        + " sent again");
    }

    private static String reason(IOException e) {
        String name = e.getClass().getSimpleName();
        return e.getMessage() == null || e.getMessage().isBlank()
                ? name
                : name + ": " + e.getMessage();
    }
}
