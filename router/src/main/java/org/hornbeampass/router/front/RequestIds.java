package org.hornbeampass.router.front;

import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;

import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives each request its id.
 *
 * <p>Invariants: an id that is made here is never made twice, since each life of a VM has its own
 * incarnation; the id of a repeatable request with an idempotency key covers the digest of its
 * content, so that the same key with other content is another request. Thread-safe.
 */
final class RequestIds {
    private static final int DIGEST_BYTES = 16;

    private final String mPrefix;
    private final AtomicLong mCount = new AtomicLong();

    RequestIds(VmId vm) {
        mPrefix = "r-" + vm.name() + "-" + Long.toString(vm.incarnation(), Character.MAX_RADIX);
    }

    /** Returns the id of a repeatable request. */
    RequestId repeatable(Optional<String> key, byte[] content) {
        return key.map(k -> new RequestId(k + "." + digest(content))).orElseGet(this::fresh);
    }

    /** Returns the id of a call that may not be repeated. */
    RequestId once(Optional<String> key) {
        return key.map(RequestId::new).orElseGet(this::fresh);
    }

    /** Returns a short digest of a request's content, in hex. */
    static String digest(byte[] content) {
        return HexFormat.of().formatHex(CallerKeys.sha256(content), 0, DIGEST_BYTES);
    }

    private RequestId fresh() {
        return new RequestId(
                mPrefix + "-" + Long.toString(mCount.incrementAndGet(), Character.MAX_RADIX));
    }
}
