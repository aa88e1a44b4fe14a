package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.Sha256;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.RequestKey;

import java.nio.ByteBuffer;

/**
 * A 128-bit fingerprint of a request, the first half of its SHA-256, used where the whole key would
 * take too much memory.
 *
 * <p>Callers choose their keys, so 64 bits would not be enough: two keys with the same 64-bit value
 * can be found in seconds, and the second request would not be billed. Immutable; safe for use by
 * any thread.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
record RequestFingerprint(long high, long low) {
    private static final char SEPARATOR = '\u0000';

    /** Returns the fingerprint of a repeatable request, computed from organisation, id and body. */
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

    /**
     * Returns the shard of a request, from 0; requests with the same id are in the same shard,
     * whatever their body.
     */
    static int shard(OrganisationId organisation, RequestId request, int shards) {
        long high = hash(organisation.value() + SEPARATOR + request.value()).high();
        return (int) Long.remainderUnsigned(high, shards);
    }

    /** Returns a 56-bit hash that identifies an attempt, never 0. */
    static long attemptTag(AttemptId attempt) {
        long high = hash(attempt.vm().toString() + SEPARATOR + attempt.number()).high();
        return (high >>> Byte.SIZE) | 1L;
    }

    private static RequestFingerprint hash(String text) {
        ByteBuffer buffer = ByteBuffer.wrap(Sha256.hash(text));
        return new RequestFingerprint(buffer.getLong(), buffer.getLong());
    }
}
