package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.RequestKey;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A 128-bit fingerprint (the first half of SHA-256), which stands for a request where the whole key
 * would take too much memory.
 *
 * <p>Callers choose their keys, so 64 bits would not do: two keys of one 64-bit value are found in
 * seconds, and the second request would go unbilled. Immutable; safe for use by any thread.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
record RequestFingerprint(long high, long low) {
    private static final char SEPARATOR = '\u0000';

    /** Returns the fingerprint of a repeatable request: organisation, id and body. */
    static RequestFingerprint of(RequestKey key) {
        return hash(
                key.organisation().value()
                        + SEPARATOR
                        + key.request().value()
                        + SEPARATOR
                        + key.bodyDigest());
    }

    /** Returns the fingerprint of one attempt of a request. */
    static RequestFingerprint of(RequestKey key, AttemptId attempt) {
        return hash(
                key.organisation().value()
                        + SEPARATOR
                        + key.request().value()
                        + SEPARATOR
                        + key.bodyDigest()
                        + SEPARATOR
                        + attempt.vm()
                        + SEPARATOR
                        + attempt.number());
    }

    /** Returns the shard of a request, from 0; every body of one id has the same one. */
    static int shard(OrganisationId organisation, RequestId request, int shards) {
        long high = hash(organisation.value() + SEPARATOR + request.value()).high();
        return (int) Long.remainderUnsigned(high, shards);
    }

    /** Returns a 56-bit mark of an attempt, never 0. */
    static long attemptTag(AttemptId attempt) {
        long high = hash(attempt.vm().toString() + SEPARATOR + attempt.number()).high();
        return (high >>> Byte.SIZE) | 1L;
    }

    private static RequestFingerprint hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            ByteBuffer buffer = ByteBuffer.wrap(hash);
            return new RequestFingerprint(buffer.getLong(), buffer.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
