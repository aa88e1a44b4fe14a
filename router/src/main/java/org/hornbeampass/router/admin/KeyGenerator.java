package org.hornbeampass.router.admin;

import org.hornbeampass.state.Sha256;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Generates callers' keys and computes the hashes of keys.
 *
 * <p>A key has 256 random bits, so that it can't be found from its unsalted SHA-256 by trying keys.
 * Thread-safe.
 */
public final class KeyGenerator {
    private static final String PREFIX = "hp-";
    private static final int RANDOM_BYTES = 32;

    private final SecureRandom mRandom;

    /** Creates a generator that draws on a source of random bits. */
    public KeyGenerator(SecureRandom random) {
        mRandom = random;
    }

    /** Returns a new key, whose characters are all allowed in a header. */
    public String next() {
        byte[] bits = new byte[RANDOM_BYTES];
        mRandom.nextBytes(bits);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bits);
    }

    /** Returns the SHA-256 of a key in lower-case hex. */
    public static String hash(String key) {
        return HexFormat.of().formatHex(Sha256.hash(key));
    }
}
