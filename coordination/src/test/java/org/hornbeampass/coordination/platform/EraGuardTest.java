package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Guards against revisions of a former era of the store that are taken for present ones. */
class EraGuardTest {
    private static final PlatformCall GET = new PlatformCall.Get("vms/a");
    private static final long OLD = StoreVersion.of(1, 9);
    private static final long REUSED = StoreVersion.of(2, 9);

    private final Deque<BiConsumer<Long, PlatformReply>> mOpen = new ArrayDeque<>();
    private final List<Long> mEras = new ArrayList<>();
    private final List<PlatformReply> mReplies = new ArrayList<>();
    private final EraGuard mGuard = new EraGuard((nowMs, call, done) -> mOpen.add(done));

    EraGuardTest() {
        mGuard.addListener((nowMs, former, era) -> mEras.add(era));
    }

    private void call(PlatformCall call) {
        mGuard.submit(0, call, (t, reply) -> mReplies.add(reply));
    }

    private void answer(PlatformReply reply) {
        mOpen.remove().accept(0L, reply);
    }

    private static PlatformReply found(long version) {
        return new PlatformReply.Found(new StoredObject("vms/a", "{}", version));
    }

    private PlatformReply lastReply() {
        return mReplies.get(mReplies.size() - 1);
    }

    @Test
    void laterEra_isReportedOnce() {
        for (long version : new long[] {OLD, OLD + 1, REUSED, REUSED + 1}) {
            call(GET);
            answer(found(version));
        }
        mGuard.onEra(0, 2);
        assertThat(mEras).containsExactly(1L, 2L);
    }

    @Test
    void writeBasedOnAFormerEra_isNotSent() {
        mGuard.onEra(0, 2);
        call(new PlatformCall.Update("vms/a", "{}", OLD));
        call(new PlatformCall.Delete("vms/a", OLD));
        assertThat(mReplies).containsOnly(new PlatformReply.Conflict(Optional.empty())).hasSize(2);
        assertThat(mOpen).isEmpty();
    }

    @Test
    void watchFromAFormerEra_isAGap() {
        mGuard.onEra(0, 2);
        call(new PlatformCall.Watch("vms/", OLD, Duration.ofSeconds(1)));
        assertThat(lastReply()).isInstanceOf(PlatformReply.WatchGap.class);
        assertThat(mOpen).isEmpty();
    }

    @Test
    void watchThatTheRestoredStoreAnswers_isAGap() {
        call(new PlatformCall.Watch("vms/", OLD, Duration.ofSeconds(1)));
        answer(new PlatformReply.Changed(List.of(), REUSED));
        assertThat(lastReply()).isInstanceOf(PlatformReply.WatchGap.class);
    }

    @Test
    void writeAppliedToAReusedRevision_hasAnUnknownOutcome() {
        call(new PlatformCall.Update("vms/a", "{}", OLD));
        answer(new PlatformReply.Written(REUSED + 1));
        assertThat(lastReply()).isInstanceOf(PlatformReply.Unavailable.class);
    }

    @Test
    void answerFromBeforeTheRestoration_isIgnored() {
        call(GET);
        mGuard.onEra(0, 2);
        answer(found(OLD));
        assertThat(lastReply()).isInstanceOf(PlatformReply.Unavailable.class);
        call(GET);
        answer(found(REUSED));
        assertThat(lastReply()).isEqualTo(found(REUSED));
    }
}
