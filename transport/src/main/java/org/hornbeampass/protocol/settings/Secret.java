package org.hornbeampass.protocol.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;

/**
 * A key that is compared in constant time and never printed.
 *
 * <p>Invariant: {@link #toString()} does not contain the key. Immutable; safe for use by any
 * thread.
 */
public final class Secret {
    private final byte[] mBytes;

    private Secret(byte[] bytes) {
        mBytes = bytes;
    }

    /** Returns a secret whose bytes are the text in UTF-8. */
    public static Secret of(String text) {
        Objects.requireNonNull(text, "text");
        return new Secret(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the key's text. Use it only to send the key; never log or store it. */
    public String reveal() {
        return new String(mBytes, StandardCharsets.UTF_8);
    }

    /**
     * Returns a copy of the key's bytes. Use it only for computations such as a MAC; never log or
     * store it.
     */
    public byte[] revealBytes() {
        return mBytes.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret secret && MessageDigest.isEqual(mBytes, secret.mBytes);
    }

    @Override
    public int hashCode() {
        return Secret.class.hashCode();
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
