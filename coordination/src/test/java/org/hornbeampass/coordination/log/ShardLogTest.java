package org.hornbeampass.coordination.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tests which writer wins a position in the log, and that truncated positions are not won again.
 */
class ShardLogTest {
    private static final VmId A = new VmId("a", 1);
    private static final VmId B = new VmId("b", 1);

    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final ShardLog mLog = new ShardLog(mPlatform, "requests/3");

    @Test
    void appended_batches_are_read_in_order() {
        assertThat(append(mLog, 0, A, 1).get()).isInstanceOf(AppendResult.Won.class);
        assertThat(append(mLog, 1, B, 1).get()).isInstanceOf(AppendResult.Won.class);

        assertThat(read(0, 10).get()).extracting(LogBatch::writer).containsExactly(A, B);
        assertThat(read(0, 1).get()).extracting(LogBatch::sequence).containsExactly(0L);
        assertThat(read(1, 10).get()).extracting(LogBatch::sequence).containsExactly(1L);
        assertThat(read(2, 10).get()).isEmpty();
    }

    @Test
    void second_writer_loses_and_receives_the_winning_batch() {
        append(mLog, 0, A, 7);

        AppendResult result = append(mLog, 0, B, 1).get();

        assertThat(result).isInstanceOf(AppendResult.Lost.class);
        assertThat(((AppendResult.Lost) result).winner().matchesWrite(batch(A, 7))).isTrue();
    }

    @Test
    void own_batch_is_recognised_after_its_reply_was_lost() {
        Platform lossy =
                (nowMs, call, done) ->
                        mPlatform.submit(
                                nowMs, call, (atMs, reply) -> done.accept(atMs, lost(call, reply)));

        assertThat(append(new ShardLog(lossy, "requests/3"), 0, A, 1).get())
                .isInstanceOf(AppendResult.Won.class);
        assertThat(append(mLog, 0, A, 1).get()).isInstanceOf(AppendResult.Won.class);
        assertThat(append(mLog, 0, A, 2).get()).isInstanceOf(AppendResult.Lost.class);
    }

    @Test
    void truncated_position_is_not_won_again() {
        append(mLog, 0, A, 1);
        append(mLog, 1, A, 2);
        assertThat(truncate(1).get()).isEqualTo(1);

        Either<Failure, AppendResult> late = append(mLog, 0, B, 1);

        assertThat(late.getLeft().kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(read(0, 10).getLeft().kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(read(1, 10).get()).extracting(LogBatch::writerSequence).containsExactly(2L);
        assertThat(truncate(1).get()).isEqualTo(1);
        assertThat(truncate(1).get()).isZero();
    }

    @Test
    void read_that_ends_before_the_floor_key_still_checks_the_floor() {
        for (int i = 0; i < 5; i++) {
            append(mLog, i, A, i);
        }
        truncate(2);

        assertThat(read(0, 1).getLeft().kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(read(2, 2).get()).extracting(LogBatch::sequence).containsExactly(2L, 3L);
    }

    @Test
    void batch_above_the_size_limit_is_rejected_before_it_is_sent() {
        LogBatch large = new LogBatch(0, A, 1, List.of("x".repeat(PlatformCall.MAX_VALUE_BYTES)));
        AtomicReference<Either<Failure, AppendResult>> result = new AtomicReference<>();

        mLog.tryAppend(0, 0, large, (atMs, r) -> result.set(r));

        assertThat(result.get().getLeft().kind()).isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
        assertThat(read(0, 1).get()).isEmpty();
    }

    private static PlatformReply lost(PlatformCall call, PlatformReply reply) {
        return call instanceof PlatformCall.Create
                ? new PlatformReply.Unavailable("reply lost")
                : reply;
    }

    private static LogBatch batch(VmId writer, long writerSequence) {
        return new LogBatch(0, writer, writerSequence, List.of("entry"));
    }

    private static Either<Failure, AppendResult> append(
            ShardLog log, long sequence, VmId writer, long writerSequence) {
        AtomicReference<Either<Failure, AppendResult>> result = new AtomicReference<>();
        log.tryAppend(0, sequence, batch(writer, writerSequence), (atMs, r) -> result.set(r));
        return result.get();
    }

    private Either<Failure, List<LogBatch>> read(long from, int limit) {
        AtomicReference<Either<Failure, List<LogBatch>>> result = new AtomicReference<>();
        mLog.read(0, from, limit, (atMs, r) -> result.set(r));
        return result.get();
    }

    private Either<Failure, Integer> truncate(long below) {
        AtomicReference<Either<Failure, Integer>> result = new AtomicReference<>();
        mLog.truncate(0, below, 100, (atMs, r) -> result.set(r));
        return result.get();
    }
}
