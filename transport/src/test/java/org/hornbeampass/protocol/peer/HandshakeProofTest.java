package org.hornbeampass.protocol.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.protocol.peer.HandshakeProof.Side;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.Arrays;

/** Tests {@link HandshakeProof}: a proof is valid only for its own handshake and side. */
class HandshakeProofTest {
    private static final Secret KEY = Secret.of("key");
    private static final VmId A = new VmId("vm-a", 1);
    private static final VmId B = new VmId("vm-b", 1);

    private final HandshakeProof mProof = proof(A, B, 1, 2);

    @Test
    void ownProof_isValid() {
        byte[] given = mProof.computeProof(KEY, Side.CONNECTING);

        assertThat(given).hasSize(Handshake.PROOF_BYTES);
        assertThat(proof(A, B, 1, 2).verifyProof(given, KEY, Side.CONNECTING)).isTrue();
    }

    @Test
    void reflectedProof_isInvalid() {
        assertThat(
                        mProof.verifyProof(
                                mProof.computeProof(KEY, Side.LISTENING), KEY, Side.CONNECTING))
                .isFalse();
    }

    @Test
    void replayedProof_isInvalid() {
        byte[] given = mProof.computeProof(KEY, Side.CONNECTING);

        assertThat(proof(A, B, 1, 3).verifyProof(given, KEY, Side.CONNECTING)).isFalse();
        assertThat(proof(A, B, 9, 2).verifyProof(given, KEY, Side.CONNECTING)).isFalse();
        assertThat(proof(new VmId("vm-a", 2), B, 1, 2).verifyProof(given, KEY, Side.CONNECTING))
                .isFalse();
        assertThat(proof(A, new VmId("vm-b", 2), 1, 2).verifyProof(given, KEY, Side.CONNECTING))
                .isFalse();
    }

    @Test
    void otherKeyAndShortProof_areInvalid() {
        byte[] given = mProof.computeProof(KEY, Side.CONNECTING);

        assertThat(mProof.verifyProof(given, Secret.of("other"), Side.CONNECTING)).isFalse();
        assertThat(mProof.verifyProof(Arrays.copyOf(given, 31), KEY, Side.CONNECTING)).isFalse();
        assertThat(mProof.verifyProof(new byte[0], KEY, Side.CONNECTING)).isFalse();
    }

    @Test
    void secret_isNotShown() {
        assertThat(KEY).hasToString("(secret)").isEqualTo(Secret.of("key"));
    }

    private static HandshakeProof proof(VmId from, VmId to, int nonce, int otherNonce) {
        byte[] bytes = new byte[Handshake.NONCE_BYTES];
        Arrays.fill(bytes, (byte) nonce);
        byte[] otherBytes = new byte[Handshake.NONCE_BYTES];
        Arrays.fill(otherBytes, (byte) otherNonce);
        return new HandshakeProof(new Handshake.Hello(1, from, to.name(), bytes), to, otherBytes);
    }
}
