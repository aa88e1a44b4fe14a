package org.hornbeampass.router.front;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.RequestKey;

import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives each request the key under which it is billed and claimed.
 *
 * <p>Invariants: an id that is made here is never made twice, since each life of a VM has its own
 * incarnation; it ends with the time, so that the log need not remember it for good. A caller's own
 * key is kept as it is, with a digest of the content. Thread-safe.
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
     * @param nowMs the present time in milliseconds
     * @param organisation who sent it
     * @param callersKey the caller's own id for it, if any
     * @param content what two requests of the same id must have in common
     */
    RequestKey key(
            long nowMs, OrganisationId organisation, Optional<String> callersKey, byte[] content) {
        if (callersKey.isPresent()) {
            return new RequestKey(organisation, new RequestId(callersKey.get()), digest(content));
        }
        return new RequestKey(organisation, fresh(nowMs), NO_DIGEST);
    }

    private static String digest(byte[] content) {
        return HexFormat.of().formatHex(CallerKeys.sha256(content), 0, DIGEST_BYTES);
    }

    private RequestId fresh(long nowMs) {
        String number = Long.toString(mCount.incrementAndGet(), Character.MAX_RADIX);
        String time = Long.toString(nowMs);
        String padded = "0".repeat(Math.max(0, TIME_DIGITS - time.length())) + time;
        return new RequestId(mPrefix + "-" + number + "@" + padded);
    }
}
