package org.hornbeampass.coordination.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Checks the verdicts on requests, and that the order of news does not matter to them. */
class SuspectTableTest {
    private static final RequestDigest CRASHING = new RequestDigest(1, 1);
    private static final RequestDigest INNOCENT = new RequestDigest(2, 2);

    private final SuspectTable mTable = table();

    private static SuspectTable table() {
        return new SuspectTable(new QuarantineFleet.SilentListener());
    }

    private static UpstreamIncarnation crash(int i) {
        return new UpstreamIncarnation("i-" + i, 1);
    }

    private void crashes(int from, int to, RequestDigest... requests) {
        for (int i = from; i <= to; i++) {
            mTable.onCrash(0, crash(i), List.of(requests));
        }
    }

    @Test
    void thirdCrash_quarantines() {
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.UNSUSPECTED);
        crashes(1, 2, CRASHING);
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.SUSPECTED);
        crashes(3, 3, CRASHING);
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
        assertThat(mTable.quarantineLeftMs(1_000, CRASHING))
                .isEqualTo(SuspectTable.KEPT_MS - 1_000);
    }

    @Test
    void upstreamThatStartsAgainUnderItsId_crashesAnew() {
        for (long born = 1; born <= 3; born++) {
            mTable.onCrash(0, new UpstreamIncarnation("i-1", born), List.of(CRASHING));
        }
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
    }

    @Test
    void requestThatFellWithTheCrashingOne_isReleasedOnceTheOtherHasMoreCrashes() {
        crashes(1, 3, CRASHING, INNOCENT);
        assertThat(mTable.standing(INNOCENT)).isEqualTo(RequestStanding.QUARANTINED);
        crashes(4, 4, CRASHING);
        assertThat(mTable.standing(INNOCENT)).isEqualTo(RequestStanding.SUSPECTED);
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
    }

    @Test
    void secondCrashingRequestBehindTheFirst_isFoundAtItsNextCrash() {
        crashes(1, 4, CRASHING);
        crashes(1, 3, INNOCENT);
        assertThat(mTable.standing(INNOCENT)).isEqualTo(RequestStanding.SUSPECTED);
        crashes(5, 5, INNOCENT);
        assertThat(mTable.standing(INNOCENT)).isEqualTo(RequestStanding.QUARANTINED);
    }

    @Test
    void answerAfterTheVerdict_releases() {
        crashes(1, 3, CRASHING);
        assertThat(mTable.clear(0, CRASHING)).isTrue();
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.UNSUSPECTED);
        assertThat(mTable.clear(0, CRASHING)).isFalse();
    }

    @Test
    void requestWhoseGuiltIsOpen_isAskedBackForItsTrial() {
        crashes(1, 3, CRASHING);
        assertThat(mTable.retryAfterMs(0, CRASHING)).isEqualTo(SuspectTable.KEPT_MS);
        crashes(1, 3, INNOCENT);
        assertThat(mTable.retryAfterMs(0, INNOCENT)).isEqualTo(SuspectTable.TRIAL_AFTER_MS);
        assertThat(mTable.retryAfterMs(0, CRASHING)).isEqualTo(SuspectTable.TRIAL_AFTER_MS);
        assertThat(mTable.retryAfterMs(SuspectTable.KEPT_MS - 1, CRASHING)).isEqualTo(1);
        crashes(4, 4, CRASHING);
        assertThat(mTable.retryAfterMs(0, CRASHING)).isEqualTo(SuspectTable.KEPT_MS);
    }

    @Test
    void newsInAnyOrder_leadToTheSameVerdicts() {
        SuspectTable teller = table();
        List<SuspectReport.Item> news = new ArrayList<>();
        Set<RequestStanding> standings = EnumSet.noneOf(RequestStanding.class);
        Random random = new Random(7);
        for (int i = 0; i < 60; i++) {
            RequestDigest digest = new RequestDigest(0, random.nextInt(8));
            if (random.nextInt(8) == 0) {
                teller.clear(0, digest);
            } else {
                teller.onCrash(0, crash(random.nextInt(14)), List.of(digest));
            }
            teller.item(0, digest).ifPresent(news::add);
        }
        for (int seed = 0; seed < 20; seed++) {
            SuspectTable hearer = table();
            List<SuspectReport.Item> shuffled = new ArrayList<>(news);
            shuffled.addAll(news);
            Collections.shuffle(shuffled, new Random(seed));
            shuffled.forEach(i -> hearer.merge(0, List.of(i)));
            for (int d = 0; d < 8; d++) {
                RequestDigest digest = new RequestDigest(0, d);
                assertThat(hearer.standing(digest)).isEqualTo(teller.standing(digest));
                standings.add(teller.standing(digest));
            }
        }
        assertThat(standings).contains(RequestStanding.SUSPECTED, RequestStanding.QUARANTINED);
    }

    /** Three requests, each of which was interrupted by the crashes of the next and one more. */
    private static void assertMiddleExplainsSmallest(
            RequestDigest smallest, RequestDigest middle, RequestDigest largest) {
        SuspectTable table = table();
        for (int i = 1; i <= 5; i++) {
            table.onCrash(0, crash(i), List.of(largest));
        }
        for (int i = 1; i <= 4; i++) {
            table.onCrash(0, crash(i), List.of(middle));
        }
        for (int i = 1; i <= 3; i++) {
            table.onCrash(0, crash(i), List.of(smallest));
        }
        table.clear(0, largest);
        assertThat(table.standing(middle)).isEqualTo(RequestStanding.QUARANTINED);
        assertThat(table.standing(smallest)).isEqualTo(RequestStanding.SUSPECTED);
    }

    @Test
    void verdicts_dependOnTheCrashesAloneAndNotOnTheOrderOfJudging() {
        for (int i = 0; i < 50; i++) {
            RequestDigest a = new RequestDigest(i, 1);
            RequestDigest b = new RequestDigest(i, 2);
            RequestDigest c = new RequestDigest(i, 3);
            assertMiddleExplainsSmallest(a, b, c);
            assertMiddleExplainsSmallest(b, a, c);
        }
    }

    @Test
    void requestThatWasOftenClearedOfCrashes_isStillFoundOnceItCausesThem() {
        for (int i = 0; i < 60; i++) {
            mTable.onCrash(0, crash(i), List.of(CRASHING));
            mTable.clear(0, CRASHING);
        }
        crashes(100, 102, CRASHING);
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
    }

    @Test
    void crashesOfLongAgo_areForgotten() {
        crashes(1, 2, CRASHING);
        mTable.tick(SuspectTable.KEPT_MS);
        assertThat(mTable.isEmpty()).isTrue();
        assertThat(mTable.knowsScope(CRASHING.scope())).isFalse();
    }

    @Test
    void floodOfNewRequests_neitherGrowsTheTableNorEndsAQuarantine() {
        crashes(1, 3, CRASHING);
        for (int i = 0; i < 2 * SuspectTable.MAX_SUSPECTS; i++) {
            mTable.onCrash(i, crash(100 + i), List.of(new RequestDigest(9, i)));
        }
        assertThat(mTable.size()).isLessThanOrEqualTo(SuspectTable.MAX_SUSPECTS);
        assertThat(mTable.standing(CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
    }
}
