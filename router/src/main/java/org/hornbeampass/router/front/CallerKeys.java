package org.hornbeampass.router.front;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Sha256;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the organisation to which a caller's key belongs, by the SHA-256 hash of the key.
 *
 * <p>Keys themselves are neither stored nor logged. Hashes are looked up by their first four bytes
 * and compared in constant time. Immutable; safe for use by any thread.
 */
final class CallerKeys {
    private static final String SCHEME = "Bearer ";
    private static final int HASH_BYTES = 32;

    private final Map<Integer, List<Entry>> mByHashPrefix;

    /** The hash of one key and the organisation that owns the key. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(byte[] hash, OrganisationId organisation) {}

    private CallerKeys(Map<Integer, List<Entry>> byHashPrefix) {
        mByHashPrefix = byHashPrefix;
    }

    /**
     * Returns the index of all keys of a configuration; values that are not SHA-256 hashes in
     * hexadecimal are skipped.
     */
    static CallerKeys of(ConfigSnapshot config) {
        Map<Integer, List<Entry>> byHashPrefix = new HashMap<>();
        for (OrganisationSpec organisation : config.organisations().values()) {
            for (String hex : organisation.keyHashes().values()) {
                parse(hex)
                        .ifPresent(
                                hash ->
                                        byHashPrefix
                                                .computeIfAbsent(
                                                        hashPrefix(hash), s -> new ArrayList<>())
                                                .add(new Entry(hash, organisation.id())));
            }
        }
        return new CallerKeys(byHashPrefix);
    }

    /** Returns the organisation that owns the key in an {@code Authorization} header. */
    Optional<OrganisationId> organisation(Optional<String> authorization) {
        if (authorization.isEmpty()
                || !authorization.get().regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        byte[] hash = Sha256.hash(authorization.get().substring(SCHEME.length()).strip());
        Optional<OrganisationId> found = Optional.empty();
        for (Entry entry : mByHashPrefix.getOrDefault(hashPrefix(hash), List.of())) {
            if (MessageDigest.isEqual(hash, entry.hash())) {
                found = Optional.of(entry.organisation());
            }
        }
        return found;
    }

    private static Optional<byte[]> parse(String hex) {
        try {
            byte[] hash = HexFormat.of().parseHex(hex);
            return hash.length == HASH_BYTES ? Optional.of(hash) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static int hashPrefix(byte[] hash) {
        return ByteBuffer.wrap(hash).getInt();
    }
}
