package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Checks which upstream a request gets, and that one that leaves gets none. */
class UpstreamRegistryTest {
    private static final ServiceSpec PLAIN = new ServiceSpec("s", 100, Optional.empty());
    private static final ServiceSpec MODEL =
            new ServiceSpec("s", 100, Optional.of(new ServiceSpec.Engine(64, 400_000, 7)));
    private static final Prompt SHARED =
            new Prompt(
                    6_000,
                    100,
                    List.of(new Prompt.Part("aa", 5_000), new Prompt.Part("own", 1_000)));

    private final UpstreamRegistry mBoard = new UpstreamRegistry(new Random(1), () -> 8);

    private static UpstreamEntry entry(String id, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.empty(), "s", id + ":80", new FailureDomain("d"), 6, leaving);
    }

    private static UpstreamEntry born(String id, long bornMs, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.of(bornMs), "s", id + ":80", new FailureDomain("d"), 6, leaving);
    }

    private Optional<String> choose(long nowMs, ServiceSpec service, Prompt prompt) {
        return mBoard.choose(nowMs, service, prompt, Set.of()).map(c -> c.instance().id());
    }

    private UpstreamInstance only(String id) {
        mBoard.onEntry(0, entry(id, false));
        return mBoard.choose(0, PLAIN, Prompt.NONE, Set.of()).orElseThrow().instance();
    }

    @Test
    void leavingUpstream_getsNothingAlsoIfALaterEntrySaysReady() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onEntry(0, entry("a", true));
        mBoard.onEntry(0, entry("a", false));
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void removedUpstream_isGoneAtOnceOnACalmDay() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onRemoved(100, "a", false);
        assertThat(choose(100, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void entryMissingAfterAnOutage_staysInUseUntilItMustBeBack() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onRemoved(100, "a", true);
        assertThat(choose(100, PLAIN, Prompt.NONE)).contains("a");
        assertThat(choose(100 + UpstreamRegistry.MISSING_GRACE_MS, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void entryBackAfterAnOutage_staysInUse() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onRemoved(100, "a", true);
        mBoard.onEntry(0, entry("a", false));
        assertThat(choose(60_000, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void silentUpstream_isPausedAndComesBack() {
        UpstreamInstance first = only("a");
        mBoard.onEntry(0, entry("b", false));
        first.onNoAnswer(0);
        first.onNoAnswer(0);
        assertThat(first.isPaused(100)).isTrue();
        for (int i = 0; i < 50; i++) {
            assertThat(choose(100, PLAIN, Prompt.NONE)).contains("b");
        }
        assertThat(first.isPaused(600)).isFalse();
    }

    @Test
    void onlyUpstream_isUsedAlsoWhilePaused() {
        UpstreamInstance only = only("a");
        only.onNoAnswer(0);
        only.onNoAnswer(0);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void sharedPrompt_goesWhereOtherVmsSendItToo() {
        UpstreamRegistry other = new UpstreamRegistry(new Random(99), () -> 8);
        for (String id : List.of("a", "b", "c", "d")) {
            mBoard.onEntry(0, entry(id, false));
        }
        for (String id : List.of("d", "c", "b", "a")) {
            other.onEntry(0, entry(id, false));
        }
        Optional<String> elsewhere =
                other.choose(0, MODEL, SHARED, Set.of()).map(c -> c.instance().id());
        assertThat(choose(0, MODEL, SHARED)).isEqualTo(elsewhere);
    }

    @Test
    void sharedPrompt_leavesItsHomeWhereManyPromptsWaitThere() {
        for (String id : List.of("a", "b", "c", "d")) {
            mBoard.onEntry(0, entry(id, false));
        }
        UpstreamInstance home = mBoard.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        home.onSent(20_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).isNotEqualTo(Optional.of(home.id()));
    }

    @Test
    void failingUpstream_getsLess() {
        UpstreamInstance bad = only("a");
        mBoard.onEntry(0, entry("b", false));
        for (int i = 0; i < 5; i++) {
            bad.onErrorAnswer(0);
        }
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("b");
        assertThat(bad.failureShare(1)).isGreaterThan(0.5);
        assertThat(bad.failureShare(30_000)).isLessThan(0.01);
    }

    @Test
    void slowEngine_getsLittleUntilItsEvidenceFades() {
        mBoard.onEntry(0, entry("slow", false));
        mBoard.onEntry(0, entry("sound", false));
        Prompt own = new Prompt(1_000, 100, List.of());
        int toSlow = 0;
        for (int i = 0; i < 100; i++) {
            long nowMs = i * 20L;
            UpstreamInstance chosen =
                    mBoard.choose(nowMs, MODEL, own, Set.of()).orElseThrow().instance();
            boolean slow = chosen.id().equals("slow");
            toSlow += slow ? 1 : 0;
            chosen.onFirstPart(nowMs, slow ? 400 : 40, 1_000);
        }
        assertThat(toSlow).isBetween(1, 10);
        int later = 0;
        for (int i = 0; i < 20; i++) {
            later += choose(30_000, MODEL, own).equals(Optional.of("slow")) ? 1 : 0;
        }
        assertThat(later).isPositive();
    }

    @Test
    void sharedPart_staysAtItsHomeThroughASmallQueue() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onEntry(0, entry("b", false));
        UpstreamInstance home = mBoard.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        home.onSent(3_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).contains(home.id());
        home.onSent(9_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).isNotEqualTo(Optional.of(home.id()));
    }

    @Test
    void upstreamThatStartsAgain_isUsedAlsoIfItsFormerIncarnationLeft() {
        mBoard.onEntry(0, born("a", 100, false));
        mBoard.onEntry(0, born("a", 100, true));
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
        assertThat(mBoard.onEntry(1, born("a", 200, false))).isEqualTo(EntryResult.STARTED_AGAIN);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void upstreamThatStartsAgain_hasNoEvidenceAndNoRequestsOfItsFormerIncarnation() {
        mBoard.onEntry(0, born("a", 100, false));
        UpstreamInstance former =
                mBoard.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        List<String> lost = new ArrayList<>();
        former.onSent(5_000, t -> lost.add("request"));
        former.onFirstPart(0, 900, 1_000);
        former.onNoAnswer(0);
        former.onNoAnswer(0);
        mBoard.onEntry(1, born("a", 200, false));
        UpstreamInstance next = mBoard.choose(1, MODEL, SHARED, Set.of()).orElseThrow().instance();
        assertThat(lost).containsExactly("request");
        assertThat(next).isNotSameAs(former);
        assertThat(next.isPaused(1)).isFalse();
        assertThat(next.inFlight()).isZero();
        assertThat(next.unreadTokens()).isZero();
        assertThat(next.failureShare(1)).isZero();
        assertThat(next.delayMs(1)).isZero();
        assertThat(former.isUsable(1)).isFalse();
    }

    @Test
    void lateEntryOfAFormerIncarnation_changesNothing() {
        mBoard.onEntry(0, born("a", 200, false));
        assertThat(mBoard.onEntry(1, born("a", 100, true)))
                .isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void lateEntryOfAnUpstreamThatLeft_bringsItNotBack() {
        mBoard.onEntry(0, entry("a", true));
        mBoard.onRemoved(10, "a", false);
        mBoard.tick(20);
        assertThat(mBoard.onEntry(30, entry("a", false))).isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(choose(30, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void lateEntryOfAnIncarnationBeforeOneThatIsGone_bringsItNotBack() {
        mBoard.onEntry(0, born("a", 200, false));
        mBoard.onRemoved(10, "a", false);
        mBoard.tick(20);
        assertThat(mBoard.onEntry(30, born("a", 100, false)))
                .isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(mBoard.onEntry(40, born("a", 200, false))).isEqualTo(EntryResult.ADDED);
    }

    @Test
    void unreadableEntry_namesNoUpstreamUntilAReadableOneComes() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onUnreadableEntry(10, "a");
        assertThat(choose(10, PLAIN, Prompt.NONE)).isEmpty();
        mBoard.onEntry(20, entry("a", false));
        assertThat(choose(20, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void entryWithoutItsIncarnationWhereOthersTellTheirs_getsNothing() {
        mBoard.onEntry(0, entry("stranger", false));
        mBoard.onEntry(0, born("a", 100, false));
        mBoard.onEntry(0, born("b", 100, true));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(0, PLAIN, Prompt.NONE)).contains("a");
        }
    }

    @Test
    void loadOfOtherVms_countsLikeTheOwnOne() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onEntry(0, entry("b", false));
        Prompt own = new Prompt(1_000, 100, List.of());
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mBoard.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(10, MODEL, own)).contains("b");
        }
    }

    @Test
    void reportOfAVmThatFellSilent_countsNoLonger() {
        mBoard.onEntry(0, entry("a", false));
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mBoard.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        mBoard.tick(FleetLoad.REPORT_TTL_MS);
        assertThat(mBoard.fleetLoad().at("a").requests()).isZero();
        assertThat(mBoard.fleetLoad().reportingVms()).isZero();
    }

    @Test
    void newerReportOfAVm_replacesItsFormerOne() {
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mBoard.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        mBoard.fleetLoad().onReport(100, "vm-3", new InFlightReport(List.of(busy), 1));
        assertThat(mBoard.fleetLoad().at("a").unreadTokens()).isEqualTo(40_000);
        mBoard.fleetLoad().onReport(200, "vm-2", new InFlightReport(List.of(), 1));
        assertThat(mBoard.fleetLoad().at("a").unreadTokens()).isEqualTo(20_000);
    }

    @Test
    void sharedPart_isReadAtItsHomeOnlyOnce() {
        mBoard.onEntry(0, entry("a", false));
        mBoard.onEntry(0, entry("b", false));
        UpstreamChoice choice = mBoard.choose(0, MODEL, SHARED, Set.of()).orElseThrow();
        UpstreamInstance home = choice.instance();
        assertThat(choice.tokensToRead()).isEqualTo(1_000);
        assertThat(mBoard.choose(0, MODEL, SHARED, Set.of(home.id())).orElseThrow().tokensToRead())
                .isEqualTo(6_000);
        home.onSent(1_000, t -> {});
        assertThat(mBoard.inFlight().items())
                .containsExactly(new InFlightReport.Item(home.id(), 1_000, 1));
    }

    @Test
    void strangerThatTellsAnIncarnationWhereOthersDoNot_takesNobodyOutOfUse() {
        mBoard.onEntry(0, entry("a", true));
        mBoard.onEntry(0, entry("b", false));
        mBoard.onEntry(0, born("stranger", 100, true));
        assertThat(choose(0, PLAIN, Prompt.NONE)).contains("b");
    }
}
