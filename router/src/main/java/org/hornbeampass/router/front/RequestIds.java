package org.hornbeampass.router.front;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.Sha256;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.RequestKey;

import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Assigns each request the key under which it is billed and claimed.
 *
 * <p>Invariants: a generated id is never generated twice, since each start of a VM has a new
 * incarnation; it ends with the time, so that the shard log need not keep it forever. A caller's
 * idempotency key is used unchanged, together with a digest of the content. Thread-safe.
 */
final class RequestIds {
    private static final int DIGEST_BYTES = 16;
    private static final int TIME_DIGITS = 13;
    private static final String NO_DIGEST = "-";

    private final String mPrefix;
    private final AtomicLong mCount = new AtomicLong();

    RequestIds(VmId vm) {
        mPrefix = "r-" + vm.name() + "-" + Long.toString(vm.incarnation(), Character.MAX_RADIX);
    }

    /**
     * Returns a request's key.
     *
     * @param nowMs the present time in milliseconds since 1970
     * @param organisation the organisation that sent it
     * @param idempotencyKey the caller's idempotency key, if any
     * @param content the bytes that must be equal in two requests with the same idempotency key
     */
    RequestKey key(
            long nowMs,
            OrganisationId organisation,
            Optional<String> idempotencyKey,
            byte[] content) {
        if (idempotencyKey.isPresent()) {
            return new RequestKey(
                    organisation, new RequestId(idempotencyKey.get()), digest(content));
        }
        return new RequestKey(organisation, newId(nowMs), NO_DIGEST);
    }

    private static String digest(byte[] content) {
        return HexFormat.of().formatHex(Sha256.hash(content), 0, DIGEST_BYTES);
    }

    private RequestId newId(long nowMs) {
        String number = Long.toString(mCount.incrementAndGet(), Character.MAX_RADIX);
        String time = Long.toString(nowMs);
        String padded = "0".repeat(Math.max(0, TIME_DIGITS - time.length())) + time;
        return new RequestId(mPrefix + "-" + number + "@" + padded);
    }
}
