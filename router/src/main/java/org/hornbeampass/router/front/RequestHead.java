package org.hornbeampass.router.front;

import io.vavr.control.Either;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.Optional;

/**
 * The headers of a request, checked against the configuration of the organisation that sent it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param caller the organisation that sent it, with its terms
 * @param idempotencyKey the caller's idempotency key, if any
 * @param budget the budget to which it is billed
 * @param deadlineMs the deadline of the request, in milliseconds since 1970
 */
record RequestHead(
        ServingConfig.Caller caller,
        Optional<String> idempotencyKey,
        BudgetKey budget,
        long deadlineMs) {
    private static final int MAX_KEY_CHARS = 200;

    /** Returns the checked headers, or a failure that names the first invalid header. */
    static Either<Failure, RequestHead> read(
            long nowMs, HttpExchange exchange, ServingConfig config, RequestLimits limits) {
        Optional<ServingConfig.Caller> caller = config.caller(exchange.header("authorization"));
        if (caller.isEmpty()) {
            return Either.left(unknownKey());
        }
        Either<Failure, Optional<String>> key = idempotencyKey(exchange);
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        Either<Failure, BudgetKey> budget = budget(exchange, caller.get());
        if (budget.isLeft()) {
            return Either.left(budget.getLeft());
        }
        return deadline(nowMs, exchange, limits)
                .map(at -> new RequestHead(caller.get(), key.get(), budget.get(), at));
    }

    /** Returns the failure of a request without a known API key. */
    static Failure unknownKey() {
        return Failure.of(
                ErrorKind.KEY_MISSING_OR_UNKNOWN,
                "header authorization does not contain a known key; send \"Bearer <key>\" with a"
                        + " key of your organisation");
    }

    private static Either<Failure, Optional<String>> idempotencyKey(HttpExchange exchange) {
        Optional<String> key = exchange.header("idempotency-key");
        boolean valid =
                key.isEmpty()
                        || (!key.get().isBlank()
                                && key.get().length() <= MAX_KEY_CHARS
                                && key.get().chars().allMatch(c -> c > ' ' && c < 0x7f));
        return valid
                ? Either.right(key)
                : invalid(
                        "idempotency-key",
                        "of " + key.get().length() + " characters",
                        "give 1 to " + MAX_KEY_CHARS + " printable ASCII characters, no spaces");
    }

    private static Either<Failure, BudgetKey> budget(
            HttpExchange exchange, ServingConfig.Caller caller) {
        Optional<String> name = exchange.header("x-budget");
        Optional<BudgetId> budget =
                name.isEmpty()
                        ? caller.spec().defaultBudget()
                        : caller.spec().budgets().stream()
                                .filter(b -> b.value().equals(name.get()))
                                .findFirst();
        if (budget.isPresent()) {
            return Either.right(new BudgetKey(caller.spec().id(), budget.get()));
        }
        return name.isPresent()
                ? invalid(
                        "x-budget",
                        "\"" + truncate(name.get()) + "\"",
                        "name a budget of your organisation or leave it out")
                : Either.left(
                        Failure.of(
                                ErrorKind.BUDGET_EXHAUSTED,
                                "organisation "
                                        + caller.spec().id()
                                        + " has no budget; ask an operator to create one"));
    }

    private static Either<Failure, Long> deadline(
            long nowMs, HttpExchange exchange, RequestLimits limits) {
        Optional<String> text = exchange.header("x-deadline-ms");
        if (text.isEmpty()) {
            return Either.right(nowMs + limits.defaultDeadlineMs());
        }
        long ms = parse(text.get());
        return ms >= 1 && ms <= limits.maxDeadlineMs()
                ? Either.right(nowMs + ms)
                : invalid(
                        "x-deadline-ms",
                        "\"" + truncate(text.get()) + "\"",
                        "give milliseconds from now, 1 to " + limits.maxDeadlineMs());
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static <T> Either<Failure, T> invalid(String header, String value, String remedy) {
        return Either.left(
                Failure.of(
                        ErrorKind.FIELD_INVALID,
                        "header " + header + " is " + value + "; " + remedy));
    }

    private static String truncate(String text) {
        return text.length() <= 60 ? text : text.substring(0, 60) + "…";
    }
}
