package org.hornbeampass.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Identifies the operator who sent a request, by the keys in the settings and in the configuration.
 *
 * <p>Invariant: each check compares with every key in constant time, whether and where they differ,
 * so that its time reveals nothing about a key. Only hashes of keys are stored. As thread-safe as
 * the supplier.
 */
public final class OperatorKeys {
    private static final String SCHEME = "bearer ";

    private final List<OperatorKey> mKeys;
    private final Supplier<Map<String, String>> mConfigured;

    /**
     * Creates the check for the given keys.
     *
     * @param keys the keys in the settings
     * @param configured the names of the keys in the configuration, each with its SHA-256 in
     *     lower-case hex
     */
    public OperatorKeys(List<OperatorKey> keys, Supplier<Map<String, String>> configured) {
        mKeys = List.copyOf(keys);
        mConfigured = configured;
    }

    /**
     * Returns the operator's name; empty if the header is absent or its key unknown.
     *
     * @param authorization the value of the authorization header
     */
    public Optional<String> operator(Optional<String> authorization) {
        return authorization
                .filter(a -> a.toLowerCase(Locale.ROOT).startsWith(SCHEME))
                .map(a -> a.substring(SCHEME.length()).trim())
                .filter(k -> !k.isEmpty())
                .map(KeyGenerator::hash)
                .flatMap(this::findByHash);
    }

    private Optional<String> findByHash(String hash) {
        byte[] given = hash.getBytes(StandardCharsets.US_ASCII);
        Optional<String> found = Optional.empty();
        for (OperatorKey key : mKeys) {
            found = equal(given, key.sha256()) ? Optional.of(key.name()) : found;
        }
        for (Map.Entry<String, String> key : mConfigured.get().entrySet()) {
            found = equal(given, key.getValue()) ? Optional.of(key.getKey()) : found;
        }
        return found;
    }

    private static boolean equal(byte[] given, String known) {
        byte[] bytes = known.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(bytes, given);
    }
}
