package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks that a request is not handed over where its caller had left before it was read.
 *
 * <p>A VM that has just started, or whose loop stands still for another reason, reads requests
 * late; their callers' deadlines may have passed.
 */
class DisconnectedCallerTest {
    private static final long STANDSTILL_MS = 1_000;

    private final EventLoops mLoops = EventLoops.create(1, "test");
    private final AtomicLong mNowMs = new AtomicLong(1);
    private final Clock mClock = mNowMs::get;
    private final List<String> mHandedOver = new CopyOnWriteArrayList<>();
    private final CountDownLatch mLast = new CountDownLatch(1);
    private volatile Runnable mOnSlow = () -> {};
    private final CallerServer mServer =
            CallerServer.start(
                    mLoops,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    mClock,
                    (nowMs, caller, head) -> onRequest(head.uri()),
                    () -> CallerLimits.DEFAULT);

    private CallerListener onRequest(String uri) {
        mHandedOver.add(uri);
        if (uri.equals("/slow")) {
            mOnSlow.run();
        }
        if (uri.equals("/last")) {
            mLast.countDown();
        }
        return CallerListener.IGNORING;
    }

    @AfterEach
    void close() {
        mLoops.close();
    }

    private Socket connect() throws IOException {
        return new Socket(mServer.address().getAddress(), mServer.address().getPort());
    }

    private static void send(Socket socket, String path) throws IOException {
        String request = "GET /" + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Keeps the loop standing while an action is done, and the clock goes on. */
    private void whileLoopStands(ThrowingAction action) throws Exception {
        CountDownLatch standing = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        mLoops.group()
                .next()
                .execute(
                        () -> {
                            standing.countDown();
                            await(goOn);
                        });
        standing.await();
        action.run();
        mNowMs.addAndGet(STANDSTILL_MS);
        goOn.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that is done beside the loop. */
    private interface ThrowingAction {
        void run() throws Exception;
    }

    @Test
    void callerThatLeftWhileTheLoopStood_getsNothingStarted() throws Exception {
        try (Socket last = connect()) {
            whileLoopStands(
                    () -> {
                        try (Socket left = connect()) {
                            send(left, "left");
                        }
                        send(last, "last");
                    });
            mLast.await();
        }
        assertThat(mHandedOver).containsExactly("/last");
    }

    @Test
    void callerThatLeftWhileOthersWereHandled_getsNothingStarted() throws Exception {
        try (Socket slow = connect();
                Socket leaves = connect();
                Socket last = connect()) {
            CountDownLatch left = new CountDownLatch(1);
            mOnSlow =
                    () -> {
                        closeAndRead(leaves, left);
                        mNowMs.addAndGet(STANDSTILL_MS);
                    };
            whileLoopStands(
                    () -> {
                        send(slow, "slow");
                        send(leaves, "leaves");
                    });
            left.await();
            send(last, "last");
            mLast.await();
        }
        assertThat(mHandedOver).containsExactly("/slow", "/last");
    }

    private static void closeAndRead(Socket socket, CountDownLatch done) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            done.countDown();
        }
    }
}
