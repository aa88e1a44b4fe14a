package org.hornbeampass.protocol.settings;

import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats amounts with units, such as {@code 250ms} and {@code 1MiB}.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class Units {
    /** The form of a duration, as messages describe it. */
    public static final String DURATION_FORM =
            "a whole number and one of ms, s, m, h, d, such as \"250ms\"";

    /** The form of a size, as messages describe it. */
    public static final String SIZE_FORM =
            "a whole number and one of B, KiB, MiB, GiB, such as \"1MiB\"";

    private static final Pattern AMOUNT = Pattern.compile("(\\d{1,18})([A-Za-z]+)");
    private static final Map<String, Long> DURATIONS_MS =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> SIZES_BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private Units() {}

    /** Returns a duration in milliseconds; empty if the text is not a duration or too large. */
    public static OptionalLong durationMs(String text) {
        return amount(text, DURATIONS_MS);
    }

    /** Returns a size in bytes; empty if the text is not a size or too large. */
    public static OptionalLong sizeBytes(String text) {
        return amount(text, SIZES_BYTES);
    }

    /**
     * Returns a duration of {@code ms} milliseconds, in the largest unit that gives a whole number.
     */
    public static String durationText(long ms) {
        return text(ms, DURATIONS_MS, "ms");
    }

    /** Returns a size of {@code bytes} bytes, in the largest unit that gives a whole number. */
    public static String sizeText(long bytes) {
        return text(bytes, SIZES_BYTES, "B");
    }

    private static OptionalLong amount(String text, Map<String, Long> units) {
        Matcher matcher = AMOUNT.matcher(text.trim());
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return OptionalLong.empty();
        }
        try {
            long number = Long.parseLong(matcher.group(1));
            return OptionalLong.of(Math.multiplyExact(number, units.get(matcher.group(2))));
        } catch (ArithmeticException e) {
            return OptionalLong.empty();
        }
    }

    private static String text(long amount, Map<String, Long> units, String smallest) {
        String best = smallest;
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            boolean larger = unit.getValue() > units.get(best);
            if (larger && amount != 0 && amount % unit.getValue() == 0) {
                best = unit.getKey();
            }
        }
        return amount / units.get(best) + best;
    }
}
