package org.hornbeampass.transport.peer;

import org.hornbeampass.protocol.peer.Handshake;

import java.security.SecureRandom;

/** Generates the random nonces of handshakes. Thread-safe. */
final class Nonces {
    private static final SecureRandom RANDOM = new SecureRandom();

    private Nonces() {}

    static byte[] next() {
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }
}
