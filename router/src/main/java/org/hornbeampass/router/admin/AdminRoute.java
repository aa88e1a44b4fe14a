package org.hornbeampass.router.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An HTTP method and a path pattern with the endpoint that handles them.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param method the HTTP method in upper case
 * @param pattern the path, in which {@code *} stands for one variable segment
 * @param endpoint handles the requests that match
 */
record AdminRoute(String method, String pattern, AdminEndpoint endpoint) {
    private static final String VARIABLE = "*";

    /** Returns the variable segments of a path that matches the pattern; empty if it does not. */
    Optional<List<String>> match(String path) {
        String[] expected = pattern.split("/", -1);
        String[] given = path.split("/", -1);
        if (expected.length != given.length) {
            return Optional.empty();
        }
        List<String> variables = new ArrayList<>();
        for (int i = 0; i < given.length; i++) {
            if (expected[i].equals(VARIABLE) && !given[i].isBlank()) {
                variables.add(given[i]);
                continue;
            }
            if (!expected[i].equals(given[i])) {
                return Optional.empty();
            }
        }
        return Optional.of(variables);
    }
}
