package org.hornbeampass.coordination.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes the digests of requests under a key that all VMs share.
 *
 * <p>Callers that don't know the key can't make a request with the digest of another caller's.
 * Confined to one thread.
 */
public final class RequestHasher {
    private static final String ALGORITHM = "HmacSHA256";
    private static final byte SEPARATOR = 0;

    private final byte[] mKey;

    /** Made at the first use: most VMs start without need of it, and loading it delays a start. */
    private Optional<Mac> mMac = Optional.empty();

    /** Makes a hasher of a secret key. */
    public RequestHasher(byte[] key) {
        mKey = key.clone();
    }

    private Mac mac() {
        if (mMac.isEmpty()) {
            mMac = Optional.of(newMac(mKey));
        }
        return mMac.get();
    }

    private static Mac newMac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
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
    public long hashScope(String host, String path, String caller, long bytes) {
        Mac mac = mac();
        for (String each : List.of(host, path, caller)) {
            mac.update(each.getBytes(StandardCharsets.UTF_8));
            mac.update(SEPARATOR);
        }
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(bytes).flip());
        return finishHash();
    }

    /**
     * Returns the hash of a body.
     *
     * @param parts the body's parts, whose positions are left as they are
     * @param maxBytes how many bytes of the body count at most
     */
    public long hashContent(List<ByteBuffer> parts, long maxBytes) {
        Mac mac = mac();
        long left = maxBytes;
        for (ByteBuffer part : parts) {
            ByteBuffer view = part.duplicate();
            view.limit((int) Math.min(view.limit(), view.position() + left));
            left -= view.remaining();
            mac.update(view);
        }
        return finishHash();
    }

    private long finishHash() {
        return ByteBuffer.wrap(mac().doFinal()).getLong();
    }
}
