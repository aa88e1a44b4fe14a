package org.hornbeampass.protocol.peer;

import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.VmId;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes and verifies the proofs that a side holds the cluster key, without sending the key.
 *
 * <p>Invariants: a proof is an HMAC over the side that sends it, both VM ids and both nonces, so
 * that a proof can't be replayed or reflected; proofs are compared in constant time. Immutable;
 * safe for use by any thread.
 *
 * @param hello the hello message of the connecting side
 * @param listener the listening VM
 * @param listenerNonce the listening side's random bytes
 */
public record HandshakeProof(Handshake.Hello hello, VmId listener, byte[] listenerNonce) {
    private static final String ALGORITHM = "HmacSHA256";

    /** The two sides of a connection. */
    public enum Side {
        CONNECTING,
        LISTENING
    }

    /** Returns the proof of the given side. */
    public byte[] computeProof(Secret key, Side side) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.revealBytes(), ALGORITHM));
            add(mac, side.name().getBytes(StandardCharsets.UTF_8));
            add(mac, hello.encode());
            add(mac, listener.toString().getBytes(StandardCharsets.UTF_8));
            add(mac, listenerNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime does not support " + ALGORITHM, e);
        }
    }

    /** Returns whether the given proof is the valid one for the given side. */
    public boolean verifyProof(byte[] proof, Secret key, Side side) {
        return MessageDigest.isEqual(computeProof(key, side), proof);
    }

    private static void add(Mac mac, byte[] part) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        mac.update(part);
    }
}
