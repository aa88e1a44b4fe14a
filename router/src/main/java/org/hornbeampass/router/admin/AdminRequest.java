package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request to the operators' API whose key has been checked.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param nowMs when it arrived, in milliseconds
 * @param exchange the request
 * @param operator the name of the operator whose key it carries
 * @param variables the path's variable segments in the order of the path
 */
record AdminRequest(long nowMs, HttpExchange exchange, String operator, List<String> variables) {
    private static final String ANY = "*";

    /** Returns the variable segment of the path at an index, counted from 0. */
    String variable(int index) {
        return variables.get(index);
    }

    /** Parses the body strictly: an unknown field is a failure. */
    <T> Either<Failure, T> body(Class<T> type) {
        return AdminJson.readRequest(exchange.body(), type);
    }

    /**
     * Returns the revision that the object must have for the change: from {@code If-Match}, or 0
     * for {@code If-None-Match: *}; empty where neither is given.
     */
    Either<Failure, OptionalLong> expectedRevision() {
        Optional<String> none = exchange.header("If-None-Match");
        if (none.isPresent()) {
            return ANY.equals(none.get().trim())
                    ? Either.right(OptionalLong.of(0))
                    : invalid("If-None-Match", none.get(), "only * is understood");
        }
        Optional<String> match = exchange.header(AdminPaths.IF_MATCH);
        if (match.isEmpty() || ANY.equals(match.get().trim())) {
            return Either.right(OptionalLong.empty());
        }
        OptionalLong revision = number(match.get().replace("\"", "").trim());
        return revision.isPresent() && revision.getAsLong() >= 0
                ? Either.right(revision)
                : invalid("If-Match", match.get(), "give the revision that a read returned");
    }

    /** Returns the maximum number of items on the page, from the query or the default. */
    Either<Failure, Integer> limit() {
        Optional<String> text = exchange.query("limit");
        if (text.isEmpty()) {
            return Either.right(AdminPaths.DEFAULT_PAGE);
        }
        OptionalLong limit = number(text.get());
        if (limit.isEmpty() || limit.getAsLong() < 1 || limit.getAsLong() > AdminPaths.MAX_PAGE) {
            return invalid("limit", text.get(), "give a number from 1 to " + AdminPaths.MAX_PAGE);
        }
        return Either.right((int) limit.getAsLong());
    }

    /** Returns the name after which the page starts; empty for the first page. */
    Optional<String> after() {
        return exchange.query("after").filter(a -> !a.isEmpty());
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private static <T> Either<Failure, T> invalid(String field, String value, String hint) {
        return Either.left(
                Failure.of(
                        ErrorKind.FIELD_INVALID,
                        field + " \"" + AdminChecks.shortened(value) + "\" is not valid: " + hint));
    }
}
