package org.hornbeampass.transport.platform;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * The platform's object API over HTTP, at several addresses.
 *
 * <p>Invariants: a call of which a byte may have left is never sent again; one of which none has
 * left is tried at each address once. Calls go to one address until it fails, then to the next.
 * Thread-safe: the only state is the number of the present address.
 */
public final class HttpPlatform implements Platform {
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final HttpClient mClient;
    private final PlatformSettings mSettings;
    private final Clock mClock;
    private final Map<String, String> mHeaders;
    private final AtomicInteger mAddress = new AtomicInteger();

    /** Makes the platform; the client stays the caller's, who closes it. */
    public HttpPlatform(HttpClient client, PlatformSettings settings, Clock clock) {
        mClient = client;
        mSettings = settings;
        mClock = clock;
        mHeaders =
                Map.of(
                        "authorization",
                        "Bearer " + settings.key().reveal(),
                        "content-type",
                        "application/json");
    }

    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        attempt(call, mSettings.addresses().size(), done);
    }

    private void attempt(PlatformCall call, int triesLeft, BiConsumer<Long, PlatformReply> done) {
        int number = mAddress.get();
        URI address = mSettings.addresses().get(number);
        mClient.send(request(call, address), new Collector(call, number, triesLeft, done));
    }

    private HttpClient.Request request(PlatformCall call, URI address) {
        long waitMs = call instanceof PlatformCall.Watch watch ? watch.maxWait().toMillis() : 0;
        return new HttpClient.Request(
                PlatformCodec.method(call),
                address.resolve(PlatformCodec.path(call)),
                mHeaders,
                PlatformCodec.body(call),
                mSettings.connectTimeoutMs(),
                waitMs + mSettings.callTimeoutMs());
    }

    private void leave(int number) {
        mAddress.compareAndSet(number, (number + 1) % mSettings.addresses().size());
    }

    /** Collects the answer to one attempt. Used on one event loop. */
    private final class Collector implements HttpClient.Listener {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final PlatformCall mCall;
        private final int mNumber;
        private final int mTriesLeft;
        private final BiConsumer<Long, PlatformReply> mDone;
        private int mStatus;
        private boolean mTooLarge;

        Collector(
                PlatformCall call,
                int number,
                int triesLeft,
                BiConsumer<Long, PlatformReply> done) {
            mCall = call;
            mNumber = number;
            mTriesLeft = triesLeft;
            mDone = done;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] chunk) {
            mTooLarge |= chunk.length > MAX_ANSWER_BYTES - mBody.size();
            if (!mTooLarge) {
                mBody.writeBytes(chunk);
            }
        }

        @Override
        public void onEnd() {
            PlatformReply reply =
                    mTooLarge
                            ? new PlatformReply.Unavailable(
                                    "the answer is larger than " + MAX_ANSWER_BYTES + " bytes")
                            : PlatformCodec.reply(mCall, mStatus, mBody.toByteArray());
            if (reply instanceof PlatformReply.Unavailable) {
                leave(mNumber);
            }
            mDone.accept(mClock.nowMs(), reply);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            leave(mNumber);
            if (!sent && mTriesLeft > 1) {
                attempt(mCall, mTriesLeft - 1, mDone);
                return;
            }
            mDone.accept(mClock.nowMs(), new PlatformReply.Unavailable(reason));
        }
    }
}
