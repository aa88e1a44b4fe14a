package org.hornbeampass.coordination.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/** Tests {@link OrderWriter} with an in-memory platform and a sender that records the orders. */
class OrderWriterTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("u");
    private static final IntendedState ONE =
            IntendedState.empty().with(WorkTarget.model(new ModelId("one")), "1");
    private static final IntendedState TWO =
            IntendedState.empty().with(WorkTarget.model(new ModelId("two")), "1");

    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final List<StoredOrder> mSent = new ArrayList<>();
    private final List<Either<Failure, StoredOrder>> mResults = new ArrayList<>();
    private final List<Runnable> mDelayed = new ArrayList<>();

    @Test
    void order_isWrittenThenSent() {
        writer(mPlatform, 1, this::accept).apply(0, UPSTREAM, ONE, true, this::addResult);

        assertThat(mSent).containsExactly(new StoredOrder(1, 1, "vm", ONE));
        assertThat(mResults.get(0).get().state()).isEqualTo(ONE);
    }

    @Test
    void repeatedOrder_isSentAgainButNotWrittenAgain() {
        OrderWriter writer = writer(mPlatform, 1, this::accept);
        writer.apply(0, UPSTREAM, ONE, true, this::addResult);
        writer.apply(1, UPSTREAM, ONE, true, this::addResult);

        assertThat(mSent).extracting(StoredOrder::generation).containsExactly(1L, 1L);
    }

    @Test
    void writerWithoutLease_sendsNothing() {
        new OrderWriter(mPlatform, now -> OptionalLong.empty(), this::accept, "vm")
                .apply(0, UPSTREAM, ONE, true, this::addResult);

        assertThat(mSent).isEmpty();
        assertThat(errorKind(0)).isEqualTo(ErrorKind.REVISION_CONFLICT);
    }

    @Test
    void deposedWriter_cannotOverwriteOrderOfNewerWriter() {
        writer(mPlatform, 2, this::accept).apply(0, UPSTREAM, TWO, true, this::addResult);
        writer(mPlatform, 1, this::accept).apply(1, UPSTREAM, ONE, true, this::addResult);

        assertThat(mSent).hasSize(1);
        assertThat(errorKind(1)).isEqualTo(ErrorKind.REVISION_CONFLICT);
    }

    @Test
    void delayedWriteAfterClaimByNewWriter_failsAndSendsNothing() {
        writer(mPlatform, 1, this::accept).apply(0, UPSTREAM, ONE, true, this::addResult);
        writer(delayingWrites(), 1, this::accept).apply(1, UPSTREAM, TWO, true, this::addResult);
        writer(mPlatform, 2, this::accept).claim(2, UPSTREAM, true, this::addResult);
        mSent.clear();
        runDelayed();

        assertThat(mSent).isEmpty();
        assertThat(errorKind(2)).isEqualTo(ErrorKind.REVISION_CONFLICT);
    }

    @Test
    void delayedOrderToUnfencedUpstream_isFollowedByNewestOrder() {
        writer(mPlatform, 1, this::acceptLater).apply(0, UPSTREAM, ONE, false, this::addResult);
        writer(mPlatform, 2, this::accept).apply(1, UPSTREAM, TWO, false, this::addResult);
        runDelayed();

        assertThat(mSent).extracting(StoredOrder::state).containsExactly(TWO, ONE, TWO);
    }

    @Test
    void unfencedUpstreams_getOneOrderAtATime() {
        OrderWriter writer = writer(mPlatform, 1, this::acceptLater);
        writer.apply(0, UPSTREAM, ONE, false, this::addResult);
        writer.apply(0, new UpstreamId("v"), ONE, false, this::addResult);

        assertThat(mDelayed).hasSize(1);
        mDelayed.remove(0).run();
        assertThat(mDelayed).hasSize(1);
    }

    @Test
    void lostReplyOfWrite_isRecognisedAndNotWrittenTwice() {
        Platform losesFirstWrite =
                new Platform() {
                    private boolean mLost;

                    @Override
                    public void submit(
                            long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
                        boolean lose = !mLost && call.kind() == PlatformCall.Kind.WRITE;
                        mLost |= lose;
                        mPlatform.submit(
                                nowMs,
                                call,
                                (now, reply) ->
                                        done.accept(
                                                now,
                                                lose
                                                        ? new PlatformReply.Unavailable("lost")
                                                        : reply));
                    }
                };
        writer(losesFirstWrite, 1, this::accept).apply(0, UPSTREAM, ONE, true, this::addResult);

        assertThat(mResults.get(0).get().generation()).isEqualTo(1);
        assertThat(mSent).hasSize(1);
    }

    @Test
    void unconfirmedOrder_failsButStaysStored() {
        writer(mPlatform, 1, (now, u, o, done) -> done.accept(now, OrderResult.UNKNOWN))
                .apply(0, UPSTREAM, ONE, true, this::addResult);

        assertThat(errorKind(0)).isEqualTo(ErrorKind.UPSTREAM_FAILED);
        writer(mPlatform, 1, this::accept).claim(1, UPSTREAM, true, this::addResult);
        assertThat(mSent).extracting(StoredOrder::state).containsExactly(ONE);
    }

    private static OrderWriter writer(Platform platform, long fencing, OrderSender sender) {
        return new OrderWriter(platform, now -> OptionalLong.of(fencing), sender, "vm");
    }

    private Platform delayingWrites() {
        return (nowMs, call, done) -> {
            if (call.kind() == PlatformCall.Kind.WRITE) {
                mDelayed.add(() -> mPlatform.submit(nowMs, call, done));
            } else {
                mPlatform.submit(nowMs, call, done);
            }
        };
    }

    private void accept(
            long nowMs,
            UpstreamId upstream,
            StoredOrder order,
            BiConsumer<Long, OrderResult> done) {
        mSent.add(order);
        done.accept(nowMs, OrderResult.ACCEPTED);
    }

    private void acceptLater(
            long nowMs,
            UpstreamId upstream,
            StoredOrder order,
            BiConsumer<Long, OrderResult> done) {
        mDelayed.add(() -> accept(nowMs, upstream, order, done));
    }

    private void runDelayed() {
        while (!mDelayed.isEmpty()) {
            mDelayed.remove(0).run();
        }
    }

    private void addResult(long nowMs, Either<Failure, StoredOrder> result) {
        mResults.add(result);
    }

    private ErrorKind errorKind(int index) {
        return mResults.get(index).getLeft().kind();
    }
}
