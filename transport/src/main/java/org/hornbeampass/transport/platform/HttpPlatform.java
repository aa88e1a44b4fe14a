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
 * Calls the platform's object API over HTTP, at one of several addresses.
 *
 * <p>Invariants: a call of which a byte may have been sent is never sent again; a call of which no
 * byte was sent is tried at most as often as there are addresses. All calls use the same address
 * until a call to it fails, then the next one. Thread-safe: the only state is the index of the
 * current address.
 */
public final class HttpPlatform implements Platform {
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final HttpClient mClient;
    private final PlatformSettings mSettings;
    private final Clock mClock;
    private final Map<String, String> mHeaders;
    private final AtomicInteger mAddressIndex = new AtomicInteger();

    /** Creates the platform; the caller keeps ownership of the client and closes it. */
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
        String path;
        try {
            path = PlatformCodec.path(call);
        } catch (IllegalArgumentException e) {
            String reason = "the call can't be made: " + e.getMessage();
            done.accept(nowMs, new PlatformReply.Unavailable(reason));
            return;
        }
        attempt(call, path, mSettings.addresses().size(), done);
    }

    private void attempt(
            PlatformCall call, String path, int triesLeft, BiConsumer<Long, PlatformReply> done) {
        int addressIndex = mAddressIndex.get();
        URI address = mSettings.addresses().get(addressIndex);
        mClient.send(
                request(call, address.resolve(path)),
                new ReplyCollector(call, path, addressIndex, triesLeft, done));
    }

    private HttpClient.Request request(PlatformCall call, URI target) {
        long waitMs = call instanceof PlatformCall.Watch watch ? watch.maxWait().toMillis() : 0;
        return new HttpClient.Request(
                PlatformCodec.method(call),
                target,
                mHeaders,
                PlatformCodec.body(call),
                mSettings.connectTimeoutMs(),
                waitMs + mSettings.callTimeoutMs());
    }

    private void switchAddress(int failedIndex) {
        mAddressIndex.compareAndSet(failedIndex, (failedIndex + 1) % mSettings.addresses().size());
    }

    /** Collects the answer to one attempt. Confined to one event loop. */
    private final class ReplyCollector implements HttpClient.Listener {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final PlatformCall mCall;
        private final String mPath;
        private final int mUsedIndex;
        private final int mTriesLeft;
        private final BiConsumer<Long, PlatformReply> mDone;
        private int mStatus;
        private boolean mTooLarge;

        ReplyCollector(
                PlatformCall call,
                String path,
                int usedIndex,
                int triesLeft,
                BiConsumer<Long, PlatformReply> done) {
            mCall = call;
            mPath = path;
            mUsedIndex = usedIndex;
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
                switchAddress(mUsedIndex);
            }
            mDone.accept(mClock.nowMs(), reply);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            switchAddress(mUsedIndex);
            if (!sent && mTriesLeft > 1) {
                attempt(mCall, mPath, mTriesLeft - 1, mDone);
                return;
            }
            mDone.accept(mClock.nowMs(), new PlatformReply.Unavailable(reason));
        }
    }
}
