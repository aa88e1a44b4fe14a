package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.UpstreamSpec;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validates operators' input and reports all its faults together.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class AdminChecks {
    static final int MAX_BUDGETS = 64;
    static final int MAX_KEYS = 32;
    private static final int MAX_NAME = 128;
    private static final int MAX_SET = 256;
    private static final int MAX_PRIORITY = 9;
    private static final int MAX_COUNT = 10_000_000;
    private static final int MAX_SHOWN = 60;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private AdminChecks() {}

    /** Returns the text, cut to the length that error messages show. */
    static String shortened(String text) {
        return text.length() <= MAX_SHOWN ? text : text.substring(0, MAX_SHOWN) + "...";
    }

    /**
     * Returns the fault of a name that is not usable in a path or a platform key; empty if valid.
     */
    static Optional<String> name(String field, String value) {
        if (value == null) {
            return Optional.of(field + " is missing: set it");
        }
        if (value.length() > MAX_NAME || !NAME.matcher(value).matches()) {
            return Optional.of(
                    field
                            + " \""
                            + shortened(value)
                            + "\" must start with a letter or digit and go on with letters, digits,"
                            + " '.', '_' or '-', "
                            + MAX_NAME
                            + " at most");
        }
        return Optional.empty();
    }

    /** Returns the fault of a model's or adapter's name, which may also contain '/' and ':'. */
    static Optional<String> modelName(String field, String value) {
        if (value.length() > MAX_NAME || !MODEL.matcher(value).matches()) {
            return Optional.of(
                    field
                            + " \""
                            + shortened(value)
                            + "\" must start with a letter or digit and go on with letters, digits,"
                            + " '.', '_', '-', '/' or ':', "
                            + MAX_NAME
                            + " at most");
        }
        return Optional.empty();
    }

    /** Returns the faults of parameters; empty if there are none. */
    static List<String> parameters(Parameters set) {
        List<String> faults = new ArrayList<>();
        set.models().ifPresent(m -> names(faults, "models", m));
        set.adapters().ifPresent(a -> names(faults, "adapters", a));
        set.services().ifPresent(s -> names(faults, "services", s));
        set.workKinds().ifPresent(w -> size(faults, "workKinds", w));
        set.priority().ifPresent(p -> range(faults, "priority", p, 0, MAX_PRIORITY));
        set.maxCompletionTokens()
                .ifPresent(n -> range(faults, "maxCompletionTokens", n, 1, MAX_COUNT));
        set.maxConcurrent().ifPresent(n -> range(faults, "maxConcurrent", n, 1, MAX_COUNT));
        set.requestsPerSecond().ifPresent(n -> range(faults, "requestsPerSecond", n, 1, MAX_COUNT));
        return faults;
    }

    /** Returns the faults of an upstream; empty if there are none. */
    static List<String> upstream(UpstreamSpec spec) {
        List<String> faults = new ArrayList<>();
        name("id", spec.id().value()).ifPresent(faults::add);
        baseUri(spec.baseUri()).ifPresent(faults::add);
        spec.model().flatMap(m -> modelName("model", m.value())).ifPresent(faults::add);
        spec.service().flatMap(s -> name("service", s)).ifPresent(faults::add);
        name("domain", spec.domain().value()).ifPresent(faults::add);
        name("region", spec.region().value()).ifPresent(faults::add);
        range(faults, "maxConcurrent", spec.maxConcurrent(), 1, MAX_COUNT);
        return faults;
    }

    /** Adds the faults of a collection of models, adapters or services, by its size and names. */
    static void names(List<String> faults, String field, Collection<?> values) {
        size(faults, field, values);
        for (Object value : values) {
            modelName(field, value.toString()).ifPresent(faults::add);
        }
    }

    /** Adds a fault if a number is outside its bounds, which are inclusive. */
    static void range(List<String> faults, String field, long value, long least, long most) {
        if (value < least || value > most) {
            faults.add(field + " must be from " + least + " to " + most + ", not " + value);
        }
    }

    /** Returns the value if it has no faults; otherwise one failure that lists them all. */
    static <T> Either<Failure, T> validOrFailure(List<String> faults, T value) {
        return faults.isEmpty()
                ? Either.right(value)
                : Either.left(Failure.of(ErrorKind.FIELD_INVALID, String.join("; ", faults)));
    }

    private static void size(List<String> faults, String field, Collection<?> values) {
        if (values.size() > MAX_SET) {
            faults.add(field + " has " + values.size() + " entries; the limit is " + MAX_SET);
        }
    }

    private static Optional<String> baseUri(String text) {
        String hint = "\" must be http://HOST:PORT or https://HOST:PORT without a path";
        try {
            URI uri = new URI(text);
            boolean scheme = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            boolean path = uri.getPath() != null && !uri.getPath().isEmpty();
            boolean extra = uri.getQuery() != null || uri.getUserInfo() != null;
            if (scheme && uri.getHost() != null && !path && !extra) {
                return Optional.empty();
            }
            return Optional.of("baseUri \"" + shortened(text) + hint);
        } catch (URISyntaxException e) {
            return Optional.of("baseUri \"" + shortened(text) + hint);
        }
    }
}
