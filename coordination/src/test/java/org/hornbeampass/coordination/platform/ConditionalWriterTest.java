package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.testing.FakeVms;
import org.hornbeampass.testing.FaultyPlatform;
import org.hornbeampass.testing.VirtualTime;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tests that a change is applied at most once although requests or replies are lost, and that it is
 * reported as unknown only if it may have been applied.
 */
class ConditionalWriterTest {
    private static final String KEY = "counters/flights";
    private static final VmId A = new VmId("a", 1);
    private static final VmId B = new VmId("b", 1);

    private final VirtualTime mTime = new VirtualTime(1_000_000);
    private final FakeVms mVms = new FakeVms(mTime);
    private final FaultyPlatform mPlatform = new FaultyPlatform(mTime, mVms, 1);
    private final List<Either<Failure, Counter>> mResults = new ArrayList<>();

    /** The stored record. */
    record Counter(long count) {}

    @Test
    void concurrentChanges_areEachAppliedOnce() {
        List<ConditionalWriter> writers = List.of(writer(A), writer(B));
        for (int i = 0; i < 20; i++) {
            writers.forEach(this::increment);
        }
        mTime.runFor(60_000);

        assertThat(mResults).hasSize(40).allMatch(Either::isRight);
        assertThat(stored()).isEqualTo(40);
    }

    @Test
    void lostReply_changeIsAppliedOnce() {
        mPlatform.setLossRates(0, 0.3);
        List<ConditionalWriter> writers = List.of(writer(A), writer(B));
        for (int i = 0; i < 20; i++) {
            writers.forEach(this::increment);
        }
        mTime.runFor(600_000);

        assertThat(mResults).hasSize(40).allMatch(Either::isRight);
        assertThat(stored()).isEqualTo(40);
    }

    @Test
    void writeArrivingAfterTimeout_isAppliedOnce() {
        mPlatform.setLatency(1, 400);
        mPlatform.setTimeout(500);
        List<ConditionalWriter> writers = List.of(writer(A), writer(B));
        for (int i = 0; i < 20; i++) {
            writers.forEach(this::increment);
        }
        mTime.runFor(3_600_000);

        assertThat(mResults).hasSize(40).allMatch(Either::isRight);
        assertThat(stored()).isEqualTo(40);
    }

    @Test
    void writeThatARestoredStoreAppliesLate_isAppliedOnce() {
        MemoryPlatform store = new MemoryPlatform(1);
        store.submit(0, new PlatformCall.Create("counters/other", "{}"), (t, reply) -> {});
        List<PlatformCall> late = new ArrayList<>();
        boolean[] delays = {false};
        Platform platform =
                (nowMs, call, done) -> {
                    if (call instanceof PlatformCall.Update && delays[0] && late.isEmpty()) {
                        late.add(call);
                        done.accept(nowMs, new PlatformReply.Unavailable("late"));
                        return;
                    }
                    if (call instanceof PlatformCall.Update && delays[0]) {
                        late.forEach(c -> store.submit(nowMs, c, (t, reply) -> {}));
                    }
                    store.submit(nowMs, call, done);
                };
        ConditionalWriter writer =
                new ConditionalWriter(platform, A, new RetryPolicy(10, 10, 10), 1);
        increment(writer);
        MemoryPlatform.Copy copy = store.copy();
        delays[0] = true;
        increment(writer);
        store.restore(0, copy);
        mTime.runFor(1_000);
        for (int i = 0; i < 10; i++) {
            writer.tick(mTime.nowMs() + 100L * i);
        }

        assertThat(mResults).hasSize(2).allMatch(Either::isRight);
        assertThat(mResults.get(1).get().count()).isEqualTo(2);
    }

    @Test
    void exhaustedRetries_outcomeIsUnknownOnlyIfWriteMayHaveApplied() {
        mPlatform.setLatency(1, 900);
        mPlatform.setTimeout(500);
        List<ConditionalWriter> writers = List.of(writer(A), writer(B));
        for (int i = 0; i < 50; i++) {
            writers.forEach(this::increment);
        }
        mTime.runFor(36_000_000);

        long acknowledged = mResults.stream().filter(Either::isRight).count();
        long unknown =
                mResults.stream()
                        .filter(r -> r.isLeft() && r.getLeft().kind() == ErrorKind.OUTCOME_UNKNOWN)
                        .count();
        assertThat(mResults).hasSize(100);
        assertThat(unknown).isPositive();
        assertThat(stored()).isBetween(acknowledged, acknowledged + unknown);
    }

    @Test
    void outageLongerThanRetries_failsAsUnavailable() {
        mPlatform.setOutage(true);
        increment(writer(A));
        mTime.runFor(600_000);

        assertThat(mResults).hasSize(1);
        assertThat(mResults.get(0).getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    }

    @Test
    void rejectedChange_writesNothing() {
        writer(A)
                .change(
                        mTime.nowMs(),
                        KEY,
                        Counter.class,
                        now -> Either.left(Failure.of(ErrorKind.BUDGET_EXHAUSTED, "spent")),
                        (atMs, r) -> mResults.add(r));
        mTime.runFor(1_000);

        assertThat(mResults.get(0).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_EXHAUSTED);
        assertThat(mPlatform.calls(PlatformCall.Kind.WRITE)).isZero();
    }

    @Test
    void unchangedRecord_isNotWritten() {
        ConditionalWriter writer = writer(A);
        increment(writer);
        mTime.runFor(1_000);
        writer.change(
                mTime.nowMs(),
                KEY,
                Counter.class,
                now -> Either.right(now.orElseThrow()),
                (atMs, r) -> mResults.add(r));
        mTime.runFor(1_000);

        assertThat(mResults.get(1).get()).isEqualTo(new Counter(1));
        assertThat(mPlatform.calls(PlatformCall.Kind.WRITE)).isEqualTo(1);
    }

    @Test
    void markOfWriter_isDroppedOnlyAfterMaxMarksOtherWriters() {
        StoredValue.Mark own = new StoredValue.Mark(A, 7);
        StoredValue value = StoredValue.after(List.of(), emptyBody(), own);
        for (int i = 0; i < StoredValue.MAX_MARKS - 1; i++) {
            value = after(value, i);
        }
        assertThat(value.presence(own)).isEqualTo(StoredValue.Presence.APPLIED);
        assertThat(value.presence(new StoredValue.Mark(A, 8)))
                .isEqualTo(StoredValue.Presence.NOT_APPLIED);

        value = after(value, StoredValue.MAX_MARKS);

        assertThat(value.presence(own)).isEqualTo(StoredValue.Presence.UNKNOWN);
    }

    private static StoredValue after(StoredValue value, int other) {
        StoredValue.Mark mark = new StoredValue.Mark(new VmId("other" + other, 1), 0);
        return StoredValue.after(value.marks(), value.body(), mark);
    }

    private static JsonNode emptyBody() {
        return NullNode.getInstance();
    }

    private ConditionalWriter writer(VmId vm) {
        ConditionalWriter writer =
                new ConditionalWriter(
                        mPlatform.connect(vm), vm, RetryPolicy.standard(), vm.name().hashCode());
        mTime.every(10, t -> mVms.deliver(vm, writer::tick));
        return writer;
    }

    private void increment(ConditionalWriter writer) {
        writer.change(
                mTime.nowMs(),
                KEY,
                Counter.class,
                now -> Either.right(new Counter(now.map(Counter::count).orElse(0L) + 1)),
                (atMs, r) -> mResults.add(r));
    }

    private long stored() {
        List<Counter> found = new ArrayList<>();
        mPlatform
                .store()
                .submit(
                        0,
                        new PlatformCall.Get(KEY),
                        (atMs, reply) -> found.add(counter((PlatformReply.Found) reply)));
        return Optional.of(found.get(0)).map(Counter::count).orElseThrow();
    }

    private static Counter counter(PlatformReply.Found found) {
        return ConditionalWriter.decodeBody(found.object().value(), Counter.class).get();
    }
}
