package org.hornbeampass.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides which operator a request comes from.
 *
 * <p>Invariant: a comparison takes the same time whether and where keys differ, and looks at every
 * key. No key is kept, only hashes. Immutable; safe for use by any thread.
 */
public final class OperatorKeys {
    private static final String SCHEME = "bearer ";

    private final List<OperatorKey> mKeys;

    /** Takes the keys of the settings. */
    public OperatorKeys(List<OperatorKey> keys) {
        mKeys = List.copyOf(keys);
    }

    /**
     * Returns the operator's name; empty where the header is absent or its key unknown.
     *
     * @param authorization the value of the authorization header
     */
    public Optional<String> operator(Optional<String> authorization) {
        Optional<String> key =
                authorization
                        .filter(a -> a.toLowerCase(Locale.ROOT).startsWith(SCHEME))
                        .map(a -> a.substring(SCHEME.length()).trim())
                        .filter(k -> !k.isEmpty());
        return key.map(KeyMaker::hash).flatMap(this::named);
    }

    private Optional<String> named(String hash) {
        byte[] given = hash.getBytes(StandardCharsets.US_ASCII);
        Optional<String> found = Optional.empty();
        for (OperatorKey key : mKeys) {
            byte[] known = key.sha256().getBytes(StandardCharsets.US_ASCII);
            if (MessageDigest.isEqual(known, given)) {
                found = Optional.of(key.name());
            }
        }
        return found;
    }
}
