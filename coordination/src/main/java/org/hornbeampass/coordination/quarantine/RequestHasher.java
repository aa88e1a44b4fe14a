package org.hornbeampass.coordination.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes the digests of requests under a key that all VMs share.
 *
 * <p>Since callers don't know the key, none can make a request with the digest of another caller's.
 * Confined to one thread.
 */
public final class RequestHasher {
    private static final String ALGORITHM = "HmacSHA256";
    private static final byte SEPARATOR = 0;

    private final Mac mMac;

    /** Makes a hasher of a secret key. */
    public RequestHasher(byte[] key) {
        try {
            mMac = Mac.getInstance(ALGORITHM);
            mMac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /**
     * Returns the hash of what tells most requests apart without their bodies.
     *
     * @param host where the request goes
     * @param path its path, with the query
     * @param caller who sends it; empty where that is not known
     * @param bytes how many bytes of the body count
     */
    public long scope(String host, String path, String caller, long bytes) {
        for (String each : List.of(host, path, caller)) {
            mMac.update(each.getBytes(StandardCharsets.UTF_8));
            mMac.update(SEPARATOR);
        }
        mMac.update(ByteBuffer.allocate(Long.BYTES).putLong(bytes).flip());
        return finish();
    }

    /**
     * Returns the hash of a body.
     *
     * @param parts the body's parts, whose positions are left as they are
     * @param maxBytes how many bytes of the body count at most
     */
    public long content(List<ByteBuffer> parts, long maxBytes) {
        long left = maxBytes;
        for (ByteBuffer part : parts) {
            ByteBuffer view = part.duplicate();
            view.limit((int) Math.min(view.limit(), view.position() + left));
            left -= view.remaining();
            mMac.update(view);
        }
        return finish();
    }

    private long finish() {
        return ByteBuffer.wrap(mMac.doFinal()).getLong();
    }
}
