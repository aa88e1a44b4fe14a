package org.hornbeampass.protocol.settings;

import io.netty.util.NetUtil;

import org.hornbeampass.protocol.settings.SettingsValue.Kind;

import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * One value of a settings text with its path, and the methods that read it as a given type.
 *
 * <p>Invariant: each reading method returns a value within the given bounds, or records a fault and
 * returns empty. Not thread-safe: used by the one thread that reads the text.
 */
record SettingsField(Faults faults, String path, SettingsValue value) {
    /** Returned in place of an address that is missing or invalid, so that reading continues. */
    static final InetSocketAddress PLACEHOLDER_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final String ADDRESS_FORM =
            "write an IP address and a port, such as \"10.0.0.1:7400\" or \"[fd00::1]:7400\"";
    private static final int MAX_PORT = 65_535;

    Optional<String> text() {
        if (!requireKind(Kind.TEXT, "write a string in double quotes")) {
            return Optional.empty();
        }
        if (value.text().isBlank()) {
            return fault("it is blank", "write a string that is not blank");
        }
        return Optional.of(value.text());
    }

    Optional<Long> wholeNumber(long min, long max) {
        String form = "write a whole number from " + min + " to " + max;
        if (!requireKind(Kind.NUMBER, form)) {
            return Optional.empty();
        }
        try {
            long number = new BigDecimal(value.text()).longValueExact();
            return requireRange(number, min, max, Long::toString);
        } catch (ArithmeticException e) {
            return fault("it is not a whole number, or too large", form);
        }
    }

    Optional<Double> fraction(double min, double max) {
        String form = "write a number from " + min + " to " + max;
        if (!requireKind(Kind.NUMBER, form)) {
            return Optional.empty();
        }
        double number = Double.parseDouble(value.text());
        return number >= min && number <= max
                ? Optional.of(number)
                : fault(number + " is out of range", form);
    }

    Optional<Boolean> booleanValue() {
        return requireKind(Kind.BOOLEAN, "write true or false, without quotes")
                ? Optional.of(Boolean.valueOf(value.text()))
                : Optional.empty();
    }

    Optional<Long> durationMs(long minMs, long maxMs) {
        if (!requireKind(Kind.TEXT, "write " + Units.DURATION_FORM)) {
            return Optional.empty();
        }
        OptionalLong ms = Units.durationMs(value.text());
        return ms.isEmpty()
                ? fault(quoted() + " is not a duration", "write " + Units.DURATION_FORM)
                : requireRange(ms.getAsLong(), minMs, maxMs, Units::durationText);
    }

    Optional<Long> sizeBytes(long minBytes, long maxBytes) {
        if (!requireKind(Kind.TEXT, "write " + Units.SIZE_FORM)) {
            return Optional.empty();
        }
        OptionalLong bytes = Units.sizeBytes(value.text());
        return bytes.isEmpty()
                ? fault(quoted() + " is not a size", "write " + Units.SIZE_FORM)
                : requireRange(bytes.getAsLong(), minBytes, maxBytes, Units::sizeText);
    }

    <E extends Enum<E>> Optional<E> constant(Class<E> type) {
        return text().flatMap(
                        text -> {
                            for (E constant : type.getEnumConstants()) {
                                if (label(constant).equals(text)) {
                                    return Optional.of(constant);
                                }
                            }
                            return fault(quoted() + " is unknown", "use one of " + labels(type));
                        });
    }

    Optional<InetSocketAddress> address() {
        return text().flatMap(this::parseAddress).flatMap(this::requireUnique);
    }

    Optional<URI> uri() {
        return text().flatMap(this::parseUri);
    }

    List<SettingsField> items() {
        if (!requireKind(Kind.LIST, "write a list in square brackets")) {
            return List.of();
        }
        List<SettingsField> items = new ArrayList<>();
        for (SettingsValue item : value.items()) {
            items.add(new SettingsField(faults, path + "[" + items.size() + "]", item));
        }
        return items;
    }

    private boolean requireKind(Kind kind, String remedy) {
        if (value.kind() == kind) {
            return true;
        }
        var unused = fault("it is " + value.kind().label(), remedy);
        return false;
    }

    private Optional<Long> requireRange(
            long number, long min, long max, LongFunction<String> formatter) {
        return number >= min && number <= max
                ? Optional.of(number)
                : fault(
                        formatter.apply(number) + " is out of range",
                        "use " + formatter.apply(min) + " to " + formatter.apply(max));
    }

    private Optional<InetSocketAddress> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return fault(quoted() + " has no port", ADDRESS_FORM);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        byte[] number = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (number == null || port > MAX_PORT) {
            return fault(quoted() + " is invalid", ADDRESS_FORM);
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(number), port));
        } catch (UnknownHostException e) {
            return fault(quoted() + " is invalid", ADDRESS_FORM);
        }
    }

    private Optional<InetSocketAddress> requireUnique(InetSocketAddress address) {
        if (address.getPort() == 0) {
            return Optional.of(address);
        }
        Optional<String> other = faults.registerUnique(address.toString(), path);
        return other.isEmpty()
                ? Optional.of(address)
                : fault("the address is used by " + other.get() + " already", "use another");
    }

    private Optional<URI> parseUri(String text) {
        String form = "write a URI such as \"http://10.0.0.1:8080\"";
        try {
            URI uri = URI.create(text);
            boolean supported = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return supported && uri.getHost() != null
                    ? Optional.of(uri)
                    : fault(quoted() + " is not an http or https URI", form);
        } catch (IllegalArgumentException e) {
            return fault(quoted() + " is not a URI", form);
        }
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static <E extends Enum<E>> String labels(Class<E> type) {
        return Arrays.stream(type.getEnumConstants())
                .map(SettingsField::label)
                .collect(Collectors.joining(", "));
    }

    private String quoted() {
        return "\"" + value.text() + "\"";
    }

    private <T> Optional<T> fault(String problem, String remedy) {
        faults.add(new Fault(value.line(), value.column(), path, problem, remedy));
        return Optional.empty();
    }
}
