package org.hornbeampass.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Makes callers' keys and their hashes.
 *
 * <p>A key has 256 random bits, so that a plain SHA-256 of it can't be searched. Thread-safe.
 */
public final class KeyGenerator {
    private static final String PREFIX = "hp-";
    private static final int RANDOM_BYTES = 32;

    private final SecureRandom mRandom;

    /** Takes the source of random bits. */
    public KeyGenerator(SecureRandom random) {
        mRandom = random;
    }

    /** Returns a new key, safe for use in a header. */
    public String next() {
        byte[] bits = new byte[RANDOM_BYTES];
        mRandom.nextBytes(bits);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bits);
    }

    /** Returns the SHA-256 of a key in lower-case hex. */
    public static String hash(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
