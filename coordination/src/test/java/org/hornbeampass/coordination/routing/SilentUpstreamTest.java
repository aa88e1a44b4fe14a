package org.hornbeampass.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamHealth;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.UpstreamId;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.stream.IntStream;

/** Tests how {@link UpstreamChooser} handles attempts and upstreams that show no progress. */
class SilentUpstreamTest {
    private final UpstreamTable mTable =
            new UpstreamTable(UpstreamFixtures.placement(), RoutingSettings.defaults());
    private final UpstreamChooser mChooser =
            new UpstreamChooser(mTable, RoutingPolicy.PREDICTED_WAIT, 1);

    @Test
    void timeouts_followLatencyOfModel() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 2, 4));
        UpstreamChoice first = choose(0);
        long before = mChooser.timeouts(0, first, AnswerKind.STREAM).firstPartMs();
        mChooser.onFirstToken(900, first);

        assertThat(before).isEqualTo(4_800);
        assertThat(mChooser.timeouts(900, choose(900), AnswerKind.STREAM).firstPartMs())
                .isGreaterThanOrEqualTo(7_200);
    }

    @Test
    void progressOfOneAttempt_isVisibleToOtherAttemptsAtItsUpstream() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 1, 4));
        UpstreamChoice one = choose(0);
        UpstreamChoice other = choose(0);
        assertThat(mChooser.lastProgressMs(other)).isEqualTo(Long.MIN_VALUE);

        mChooser.onProgress(700, one, 30);

        assertThat(mChooser.lastProgressMs(other)).isEqualTo(700);
    }

    @Test
    void twoSilentAttempts_ejectUpstream() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 8));
        UpstreamChoice one = choose(0);
        mChooser.onEnded(2_000, one, AttemptOutcome.SILENT);
        while (true) {
            UpstreamChoice next = choose(2_000);
            if (next.upstream().equals(one.upstream())) {
                mChooser.onEnded(3_000, next, AttemptOutcome.SILENT);
                break;
            }
        }

        assertThat(mTable.status(3_000))
                .filteredOn(s -> s.id().equals(one.upstream()))
                .singleElement()
                .matches(s -> s.health() == UpstreamHealth.State.EJECTED);
    }

    @Test
    void runnerWhoseReportsStop_getsNoWorkWhileOthersReport() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 64));
        report(0, 1_000, 0);
        report(1_100, 2_100, 1);

        for (int i = 0; i < 60; i++) {
            assertThat(choose(2_100).upstream()).isNotEqualTo(UpstreamFixtures.runner(0));
        }
        report(2_200, 2_200, 0);
        assertThat(chosenInSequence(2_200)).contains(UpstreamFixtures.runner(0));
    }

    @Test
    void stoppedReportsOfMostRunners_areIgnored() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 64));
        report(0, 1_000, 0);
        report(1_100, 2_100, 2);

        assertThat(chosenInSequence(2_100))
                .contains(UpstreamFixtures.runner(0), UpstreamFixtures.runner(1));
    }

    /** Delivers reports every 100 ms from all runners from {@code firstRunner} on. */
    private void report(long fromMs, long untilMs, int firstRunner) {
        for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
            for (int n = firstRunner; n < 3; n++) {
                mTable.onLoadReport(
                        nowMs, UpstreamFixtures.runner(n), UpstreamFixtures.report(nowMs, 0, 0));
            }
        }
    }

    private List<UpstreamId> chosenInSequence(long nowMs) {
        return IntStream.range(0, 60).mapToObj(i -> choose(nowMs).upstream()).toList();
    }

    private UpstreamChoice choose(long nowMs) {
        return mChooser.choose(nowMs, UpstreamFixtures.query()).get();
    }
}
