package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.RequestId;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the timestamp in a caller's idempotency key: that of a version 7 UUID, or 13 digits of Unix
 * milliseconds after a last {@code @}.
 *
 * <p>Thread-safe: holds no state.
 */
public final class KeyTimestamp {
    private static final Pattern UUID_7 =
            Pattern.compile(
                    "([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}"
                            + "-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final Pattern SUFFIX = Pattern.compile(".+@([0-9]{13})");
    private static final int HEX = 16;

    private KeyTimestamp() {}

    /** Returns the timestamp in a key, in Unix milliseconds; empty if it contains none. */
    public static OptionalLong parse(RequestId id) {
        Matcher uuid = UUID_7.matcher(id.value());
        if (uuid.matches()) {
            return OptionalLong.of(Long.parseLong(uuid.group(1) + uuid.group(2), HEX));
        }
        Matcher suffix = SUFFIX.matcher(id.value());
        return suffix.matches()
                ? OptionalLong.of(Long.parseLong(suffix.group(1)))
                : OptionalLong.empty();
    }
}
