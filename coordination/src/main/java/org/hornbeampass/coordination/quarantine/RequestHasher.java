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
 * <p>A caller that does not know the key can't craft a request with the same digest as another
 * caller's request. Confined to one thread.
 */
public final class RequestHasher {
    private static final String ALGORITHM = "HmacSHA256";
    private static final byte SEPARATOR = 0;

    private final byte[] mKey;

    /**
     * Created on first use: most VMs don't need it at startup, and loading it delays the startup.
     */
    private Optional<Mac> mMac = Optional.empty();

    /** Creates a hasher that uses a secret key. */
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
            throw new IllegalStateException(
                    "this Java platform lacks the required algorithm " + ALGORITHM, e);
        }
    }

    /**
     * Returns a hash of the attributes that distinguish most requests without reading their bodies.
     *
     * @param host the host to which the request is addressed
     * @param path the path of the request, with the query
     * @param caller the name of the caller; empty if unknown
     * @param bytes the number of bytes of the body that are hashed
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
     * Returns a hash of the body.
     *
     * @param parts the parts of the body; their positions are not changed
     * @param maxBytes the largest number of bytes that are hashed
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

    /** Returns the digest of a part that prompts share, given its identifier. */
    public SuspectDigest partDigest(String id) {
        mac().update(id.getBytes(StandardCharsets.UTF_8));
        return SuspectDigest.ofPart(finishHash());
    }

    private long finishHash() {
        return ByteBuffer.wrap(mac().doFinal()).getLong();
    }
}
