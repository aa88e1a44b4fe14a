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
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Tests which upstream a request gets, and that a leaving or former one gets no requests. */
class UpstreamRegistryTest {
    private static final ServiceSpec PLAIN = new ServiceSpec("s", 100, Optional.empty());
    private static final ServiceSpec MODEL =
            new ServiceSpec("s", 100, Optional.of(new ServiceSpec.Engine(64, 400_000, 7)));
    private static final Prompt SHARED =
            new Prompt(
                    6_000,
                    100,
                    List.of(new Prompt.Part("aa", 5_000), new Prompt.Part("own", 1_000)));

    private final UpstreamRegistry mRegistry = new UpstreamRegistry(new Random(1), () -> 8);

    private static UpstreamEntry entry(String id, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.empty(), "s", id + ":80", new FailureDomain("d"), 6, leaving);
    }

    private static UpstreamEntry entryOf(String id, long bornMs, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.of(bornMs), "s", id + ":80", new FailureDomain("d"), 6, leaving);
    }

    private Optional<String> choose(long nowMs, ServiceSpec service, Prompt prompt) {
        return mRegistry.choose(nowMs, service, prompt, Set.of()).map(c -> c.instance().id());
    }

    private UpstreamInstance only(String id) {
        mRegistry.onEntry(0, entry(id, false));
        return mRegistry.choose(0, PLAIN, Prompt.NONE, Set.of()).orElseThrow().instance();
    }

    @Test
    void leavingUpstream_getsNoRequestsEvenIfALaterEntryIsReady() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onEntry(0, entry("a", true));
        mRegistry.onEntry(0, entry("a", false));
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void removedUpstream_isGoneAtOnceWithoutAnOutage() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onRemoved(100, "a", false);
        assertThat(choose(100, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void endListener_isNotifiedOfARemovedEntryAfterTheGracePeriod() {
        List<Long> ends = new ArrayList<>();
        only("a").addEndListener(ends::add);
        mRegistry.onRemoved(100, "a", true);
        mRegistry.tick(100 + UpstreamRegistry.MISSING_GRACE_MS - 1);
        assertThat(ends).isEmpty();
        mRegistry.tick(100 + UpstreamRegistry.MISSING_GRACE_MS);
        assertThat(ends).containsExactly(100 + UpstreamRegistry.MISSING_GRACE_MS);
    }

    @Test
    void endListener_isNotifiedOfALaterStartAndCountsAsNoRequest() {
        mRegistry.onEntry(0, entryOf("a", 1, false));
        UpstreamInstance first =
                mRegistry.choose(0, PLAIN, Prompt.NONE, Set.of()).orElseThrow().instance();
        List<Long> ends = new ArrayList<>();
        first.addEndListener(ends::add);
        assertThat(first.inFlight()).isZero();
        mRegistry.onEntry(100, entryOf("a", 2, false));
        assertThat(ends).containsExactly(100L);
    }

    @Test
    void entryMissingAfterAnOutage_staysInUseForTheGracePeriod() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onRemoved(100, "a", true);
        assertThat(choose(100, PLAIN, Prompt.NONE)).contains("a");
        assertThat(choose(100 + UpstreamRegistry.MISSING_GRACE_MS, PLAIN, Prompt.NONE)).isEmpty();
    }

    /** Removes an upstream's entry, and lets it be forgotten. */
    private void forget(String id) {
        mRegistry.onRemoved(100, id, false);
        mRegistry.tick(100);
    }

    @Test
    void requestedPause_holdsWhenTheEntryIsWrittenAgain() {
        mRegistry.onEntry(0, entryOf("a", 7, false));
        mRegistry
                .choose(0, PLAIN, Prompt.NONE, Set.of())
                .orElseThrow()
                .instance()
                .onPauseRequested(0, 20_000);
        forget("a");
        mRegistry.onEntry(5_000, entryOf("a", 7, false));
        assertThat(choose(19_999, PLAIN, Prompt.NONE)).isEmpty();
        assertThat(mRegistry.requestedPauseLeftMs(5_000, "s")).hasValue(15_000);
        assertThat(choose(20_000, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void requestedPause_endsWithTheIncarnation() {
        mRegistry.onEntry(0, entryOf("a", 7, false));
        mRegistry
                .choose(0, PLAIN, Prompt.NONE, Set.of())
                .orElseThrow()
                .instance()
                .onPauseRequested(0, 20_000);
        forget("a");
        mRegistry.onEntry(5_000, entryOf("a", 8, false));
        assertThat(choose(5_000, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void pauseForLackOfCapacity_holdsWhenTheEntryIsWrittenAgain() {
        only("a").onOverloaded(0, 3_000);
        forget("a");
        mRegistry.onEntry(1_000, entry("a", false));
        mRegistry.onEntry(1_000, entry("b", false));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(2_000, PLAIN, Prompt.NONE)).contains("b");
        }
    }

    private UpstreamInstance brittle(double maxRejectionsPerS) {
        UpstreamInstance instance = only("a");
        assertThat(instance.onBrittleness(OptionalDouble.of(maxRejectionsPerS))).isTrue();
        return instance;
    }

    private void reportRequestsOfAnotherVm(int requests) {
        InFlightReport.Item item = new InFlightReport.Item("a", 0, requests, 0);
        mRegistry.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(item), 1));
    }

    @Test
    void brittleUpstreamWithoutAFreePlace_getsNoRequests() {
        UpstreamInstance instance = brittle(2);
        reportRequestsOfAnotherVm(6);
        assertThat(choose(0, PLAIN, Prompt.NONE)).contains("a");
        instance.onSent(0, t -> {});
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
        assertThat(instance.onBrittleness(OptionalDouble.empty())).isTrue();
        assertThat(choose(0, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void vmsThatDoNotKnowOfEachOthersRequests_shareThePlacesOfABrittleUpstream() {
        UpstreamInstance instance = brittle(4);
        reportRequestsOfAnotherVm(0);
        for (int i = 0; i < 4; i++) {
            assertThat(choose(0, PLAIN, Prompt.NONE)).contains("a");
            instance.onSent(
                    0,
                    new IncarnationListener() {
                        @Override
                        public void onEnded(long nowMs) {}
                    });
        }
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void rejectionsOfABrittleUpstream_stayBelowHalfOfWhatItSurvives() {
        UpstreamInstance instance = brittle(20);
        reportRequestsOfAnotherVm(0);
        int rejections = 0;
        for (long nowMs = 0; nowMs < 10_000; nowMs++) {
            if (choose(nowMs, PLAIN, Prompt.NONE).isPresent()) {
                instance.onRejected(nowMs, 2);
                rejections++;
            }
        }
        assertThat(rejections).isBetween(40, 50);
    }

    @Test
    void concurrentRejections_holdABrittleUpstreamLonger() {
        UpstreamInstance instance = brittle(10);
        instance.onRejected(0, 1);
        instance.onRejected(0, 1);
        assertThat(choose(399, PLAIN, Prompt.NONE)).isEmpty();
        assertThat(choose(400, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void entryRestoredAfterAnOutage_staysInUse() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onRemoved(100, "a", true);
        mRegistry.onEntry(0, entry("a", false));
        assertThat(choose(60_000, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void unresponsiveUpstream_isPausedForATime() {
        UpstreamInstance first = only("a");
        mRegistry.onEntry(0, entry("b", false));
        first.onNoAnswer(0);
        first.onNoAnswer(0);
        assertThat(first.isPaused(100)).isTrue();
        for (int i = 0; i < 50; i++) {
            assertThat(choose(100, PLAIN, Prompt.NONE)).contains("b");
        }
        assertThat(first.isPaused(600)).isFalse();
    }

    @Test
    void onlyUpstream_isUsedEvenWhilePaused() {
        UpstreamInstance only = only("a");
        only.onNoAnswer(0);
        only.onNoAnswer(0);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void sharedPrompt_isSentToTheSameUpstreamByAllVms() {
        UpstreamRegistry other = new UpstreamRegistry(new Random(99), () -> 8);
        for (String id : List.of("a", "b", "c", "d")) {
            mRegistry.onEntry(0, entry(id, false));
        }
        for (String id : List.of("d", "c", "b", "a")) {
            other.onEntry(0, entry(id, false));
        }
        Optional<String> elsewhere =
                other.choose(0, MODEL, SHARED, Set.of()).map(c -> c.instance().id());
        assertThat(choose(0, MODEL, SHARED)).isEqualTo(elsewhere);
    }

    @Test
    void sharedPrompt_avoidsItsCacheHolderWhenManyPromptsWaitThere() {
        for (String id : List.of("a", "b", "c", "d")) {
            mRegistry.onEntry(0, entry(id, false));
        }
        UpstreamInstance holder =
                mRegistry.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        holder.onSent(20_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).isNotEqualTo(Optional.of(holder.id()));
    }

    @Test
    void failingUpstream_getsFewerRequests() {
        UpstreamInstance bad = only("a");
        mRegistry.onEntry(0, entry("b", false));
        for (int i = 0; i < 5; i++) {
            bad.onErrorAnswer(0);
        }
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("b");
        assertThat(bad.failureShare(1)).isGreaterThan(0.5);
        assertThat(bad.failureShare(30_000)).isLessThan(0.01);
    }

    @Test
    void slowEngine_getsFewRequestsUntilItsStatisticsDecay() {
        mRegistry.onEntry(0, entry("slow", false));
        mRegistry.onEntry(0, entry("sound", false));
        Prompt own = new Prompt(1_000, 100, List.of());
        int toSlow = 0;
        for (int i = 0; i < 100; i++) {
            long nowMs = i * 20L;
            UpstreamInstance chosen =
                    mRegistry.choose(nowMs, MODEL, own, Set.of()).orElseThrow().instance();
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
    void sharedPart_staysAtItsCacheHolderDespiteASmallQueue() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onEntry(0, entry("b", false));
        UpstreamInstance holder =
                mRegistry.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        holder.onSent(3_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).contains(holder.id());
        holder.onSent(9_000, t -> {});
        assertThat(choose(0, MODEL, SHARED)).isNotEqualTo(Optional.of(holder.id()));
    }

    @Test
    void restartedUpstream_isUsedEvenIfItsFormerIncarnationWasLeaving() {
        mRegistry.onEntry(0, entryOf("a", 100, false));
        mRegistry.onEntry(0, entryOf("a", 100, true));
        assertThat(choose(0, PLAIN, Prompt.NONE)).isEmpty();
        assertThat(mRegistry.onEntry(1, entryOf("a", 200, false)))
                .isEqualTo(EntryResult.STARTED_AGAIN);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void restartedUpstream_hasNoStatisticsAndNoRequestsOfItsFormerIncarnation() {
        mRegistry.onEntry(0, entryOf("a", 100, false));
        UpstreamInstance previous =
                mRegistry.choose(0, MODEL, SHARED, Set.of()).orElseThrow().instance();
        List<String> lost = new ArrayList<>();
        previous.onSent(5_000, t -> lost.add("request"));
        previous.onFirstPart(0, 900, 1_000);
        previous.onNoAnswer(0);
        previous.onNoAnswer(0);
        mRegistry.onEntry(1, entryOf("a", 200, false));
        UpstreamInstance next =
                mRegistry.choose(1, MODEL, SHARED, Set.of()).orElseThrow().instance();
        assertThat(lost).containsExactly("request");
        assertThat(next).isNotSameAs(previous);
        assertThat(next.isPaused(1)).isFalse();
        assertThat(next.inFlight()).isZero();
        assertThat(next.unreadTokens()).isZero();
        assertThat(next.failureShare(1)).isZero();
        assertThat(next.delayMs(1)).isZero();
        assertThat(previous.isUsable(1)).isFalse();
    }

    @Test
    void lateEntryOfAFormerIncarnation_isIgnored() {
        mRegistry.onEntry(0, entryOf("a", 200, false));
        assertThat(mRegistry.onEntry(1, entryOf("a", 100, true)))
                .isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(choose(1, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void lateEntryOfAnUpstreamThatLeft_doesNotAddItAgain() {
        mRegistry.onEntry(0, entry("a", true));
        mRegistry.onRemoved(10, "a", false);
        mRegistry.tick(20);
        assertThat(mRegistry.onEntry(30, entry("a", false)))
                .isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(choose(30, PLAIN, Prompt.NONE)).isEmpty();
    }

    @Test
    void lateEntryOfAnIncarnationBeforeARemovedOne_doesNotAddItAgain() {
        mRegistry.onEntry(0, entryOf("a", 200, false));
        mRegistry.onRemoved(10, "a", false);
        mRegistry.tick(20);
        assertThat(mRegistry.onEntry(30, entryOf("a", 100, false)))
                .isEqualTo(EntryResult.FORMER_INCARNATION);
        assertThat(mRegistry.onEntry(40, entryOf("a", 200, false))).isEqualTo(EntryResult.ADDED);
    }

    @Test
    void unreadableEntry_removesTheUpstreamUntilAReadableOneArrives() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onUnreadableEntry(10, "a");
        assertThat(choose(10, PLAIN, Prompt.NONE)).isEmpty();
        mRegistry.onEntry(20, entry("a", false));
        assertThat(choose(20, PLAIN, Prompt.NONE)).contains("a");
    }

    @Test
    void entryWithoutIncarnationWhereOthersStateTheirs_getsNoRequests() {
        mRegistry.onEntry(0, entry("stranger", false));
        mRegistry.onEntry(0, entryOf("a", 100, false));
        mRegistry.onEntry(0, entryOf("b", 100, true));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(0, PLAIN, Prompt.NONE)).contains("a");
        }
    }

    @Test
    void loadOfOtherVms_countsLikeOwnLoad() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onEntry(0, entry("b", false));
        Prompt own = new Prompt(1_000, 100, List.of());
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mRegistry.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(10, MODEL, own)).contains("b");
        }
    }

    @Test
    void reportOfAVmThatStoppedReporting_expires() {
        mRegistry.onEntry(0, entry("a", false));
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mRegistry.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        mRegistry.tick(FleetLoad.REPORT_TTL_MS);
        assertThat(mRegistry.fleetLoad().at("a").requests()).isZero();
        assertThat(mRegistry.fleetLoad().reportingVms()).isZero();
    }

    @Test
    void newerReportOfAVm_replacesThePreviousOne() {
        InFlightReport.Item busy = new InFlightReport.Item("a", 20_000, 3);
        mRegistry.fleetLoad().onReport(0, "vm-2", new InFlightReport(List.of(busy), 1));
        mRegistry.fleetLoad().onReport(100, "vm-3", new InFlightReport(List.of(busy), 1));
        assertThat(mRegistry.fleetLoad().at("a").unreadTokens()).isEqualTo(40_000);
        mRegistry.fleetLoad().onReport(200, "vm-2", new InFlightReport(List.of(), 1));
        assertThat(mRegistry.fleetLoad().at("a").unreadTokens()).isEqualTo(20_000);
    }

    @Test
    void sharedPart_isReadOnlyOnceAtItsCacheHolder() {
        mRegistry.onEntry(0, entry("a", false));
        mRegistry.onEntry(0, entry("b", false));
        UpstreamChoice choice = mRegistry.choose(0, MODEL, SHARED, Set.of()).orElseThrow();
        UpstreamInstance holder = choice.instance();
        assertThat(choice.tokensToRead()).isEqualTo(1_000);
        assertThat(
                        mRegistry
                                .choose(0, MODEL, SHARED, Set.of(holder.id()))
                                .orElseThrow()
                                .tokensToRead())
                .isEqualTo(6_000);
        holder.onSent(1_000, t -> {});
        assertThat(mRegistry.inFlight().items())
                .containsExactly(new InFlightReport.Item(holder.id(), 1_000, 1));
    }

    @Test
    void foreignEntryWithIncarnationWhereOthersHaveNone_excludesNoUpstream() {
        mRegistry.onEntry(0, entry("a", true));
        mRegistry.onEntry(0, entry("b", false));
        mRegistry.onEntry(0, entryOf("stranger", 100, true));
        assertThat(choose(0, PLAIN, Prompt.NONE)).contains("b");
    }

    @Test
    void room_countsUsableUpstreamsAndTheRequestsOfAllVms() {
        UpstreamInstance busy = only("a");
        mRegistry.onEntry(0, entry("b", false));
        mRegistry.onEntry(0, entry("c", true));
        busy.onSent(100, t -> {});
        List<InFlightReport.Item> others =
                List.of(new InFlightReport.Item("b", 0, 3), new InFlightReport.Item("c", 0, 2));
        mRegistry.fleetLoad().onReport(0, "vm-2", new InFlightReport(others, 1));
        assertThat(mRegistry.room(0, "s")).isEqualTo(new ServiceRoom(12, 4));
        assertThat(mRegistry.room(0, "other")).isEqualTo(new ServiceRoom(0, 0));
    }
}
