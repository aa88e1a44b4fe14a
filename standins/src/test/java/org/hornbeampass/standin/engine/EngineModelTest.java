package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.PromptTokens;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests {@link EngineModel} in virtual time. */
class EngineModelTest {
    private static final EngineTiming TIMING = new EngineTiming(3, 1, 0.1, 100, 2, 2, 8);
    private static final String PROMPT = "x".repeat(160);

    private final EngineModel mEngine = new EngineModel(TIMING, EngineNews.prompt());

    @Test
    void step_ofOneJob_prefillsThenDecodesAtTheStepTime() {
        mEngine.offer(0, job("a", 5, 3));

        // 40 prompt tokens: 3 + 4 ms; then 3 + 1 ms for each token.
        assertThat(mEngine.nextStepAt()).hasValue(7);
        assertThat(mEngine.step(6)).isEmpty();
        assertThat(run(100)).containsExactly("7 a:0", "11 a:1", "15 a:2", "15 a done");
        assertThat(mEngine.nextStepAt()).isEmpty();
    }

    @Test
    void step_calledLate_keepsTheTimesOfEvents() {
        mEngine.offer(0, job("a", 5, 3));

        assertThat(names(mEngine.step(1_000)))
                .containsExactly("7 a:0", "11 a:1", "15 a:2", "15 a done");
    }

    @Test
    void step_ofLargerBatch_lastsLonger() {
        mEngine.offer(0, job("a", 5, 3));
        mEngine.offer(0, job("b", 5, 3));

        // b joins after the first step, with its two whole blocks cached: 8 tokens are left.
        assertThat(run(100))
                .containsExactly(
                        "7 a:0",
                        "12 a:1",
                        "12 b:0",
                        "17 a:2",
                        "17 a done",
                        "17 b:1",
                        "21 b:2",
                        "21 b done");
    }

    @Test
    void offer_beyondBatch_waitsByPriority() {
        mEngine.offer(0, job("a", 5, 1));
        mEngine.offer(0, job("b", 5, 1));
        mEngine.offer(0, job("low", 1, 1));
        mEngine.offer(1, job("high", 9, 1));

        List<String> events = run(200);

        assertThat(events.indexOf(find(events, "high:0")))
                .isLessThan(events.indexOf(find(events, "low:0")));
    }

    @Test
    void offer_beyondQueue_isRefused() {
        mEngine.offer(0, job("a", 5, 50));
        mEngine.offer(0, job("b", 5, 50));
        mEngine.step(7);
        mEngine.offer(8, job("c", 5, 1));
        mEngine.offer(8, job("d", 5, 1));

        assertThat(mEngine.offer(8, job("e", 9, 1))).isEqualTo(EngineModel.Offer.QUEUE_FULL);
        assertThat(mEngine.offer(8, job("a", 9, 1))).isEqualTo(EngineModel.Offer.DUPLICATE_ATTEMPT);
    }

    @Test
    void offer_ofLongPrompt_prefillsInParts() {
        mEngine.offer(0, job("a", 5, "y".repeat(4 * 150), 0, 1));

        // 100 tokens in the first step (3 + 10 ms), 50 in the second (3 + 5 ms).
        assertThat(run(100)).containsExactly("21 a:0", "21 a done");
    }

    @Test
    void cancel_ofRunningJob_tellsItsTokensAndStopsThem() {
        mEngine.offer(0, job("a", 5, 50));
        mEngine.step(11);

        assertThat(mEngine.cancel(12, "a")).hasValue(2);
        assertThat(run(500)).isEmpty();
        assertThat(mEngine.cancel(501, "a")).isEmpty();
    }

    @Test
    void cancel_ofWaitingJob_leavesItUnrun() {
        mEngine.offer(0, job("a", 5, 2));
        mEngine.offer(0, job("b", 5, 2));

        assertThat(mEngine.cancel(1, "b")).hasValue(0);
        assertThat(run(100)).containsExactly("7 a:0", "11 a:1", "11 a done");
    }

    @Test
    void offer_resumedAtOffset_generatesTheRest() {
        mEngine.offer(0, job("a", 5, PROMPT, 2, 4));

        assertThat(run(100))
                .extracting(e -> e.substring(e.indexOf(' ') + 1))
                .containsExactly("a:2", "a:3", "a done");
    }

    @Test
    void setFrozen_holdsStepsUntilThawed() {
        mEngine.offer(0, job("a", 5, 1));
        mEngine.setFrozen(1, true);

        assertThat(mEngine.nextStepAt()).isEmpty();
        assertThat(mEngine.step(1_000)).isEmpty();

        mEngine.setFrozen(2_000, false);
        assertThat(run(3_000)).containsExactly("2000 a:0", "2000 a done");
    }

    @Test
    void setSlowFactor_stretchesSteps() {
        mEngine.setSlowFactor(3);
        mEngine.offer(0, job("a", 5, 1));

        assertThat(run(100)).containsExactly("21 a:0", "21 a done");
    }

    @Test
    void reportedLoad_lagsBehindTheLoad() {
        EngineModel engine = new EngineModel(TIMING, new EngineNews(100, 0, 0, 10, 1));
        engine.offer(50, job("a", 5, 100));

        assertThat(engine.load(50).running()).isEqualTo(1);
        assertThat(engine.reportedLoad(149).running()).isZero();
        assertThat(engine.reportedLoad(150).running()).isEqualTo(1);
        assertThat(engine.reportedLoad(150).atMs()).isEqualTo(50);
    }

    @Test
    void cacheEvents_areLateAndBounded() {
        EngineModel engine = new EngineModel(TIMING, new EngineNews(0, 100, 0, 10, 1));
        engine.offer(0, job("a", 5, 1));
        engine.step(7);

        assertThat(engine.cacheEvents(106, 0, 100)).isEmpty();
        assertThat(engine.cacheEvents(107, 0, 100))
                .extracting(CacheEvent::kind)
                .containsExactly(CacheEvent.Kind.STORED, CacheEvent.Kind.STORED);
        assertThat(engine.cacheEvents(107, 1, 100)).hasSize(1);
    }

    @Test
    void cacheEvents_withLoss_showGapsInTheSequence() {
        EngineModel engine =
                new EngineModel(
                        new EngineTiming(3, 1, 0.1, 10_000, 2, 2, 10_000),
                        new EngineNews(0, 0, 0.5, 10_000, 1));
        engine.offer(0, job("a", 5, "y".repeat(64 * 100), 0, 1));
        engine.step(1_000);

        List<CacheEvent> events = engine.cacheEvents(1_000, 0, 1_000);
        assertThat(events).hasSizeBetween(30, 70);
        assertThat(events.get(events.size() - 1).sequence()).isGreaterThan(events.size());
    }

    private List<String> run(long untilMs) {
        List<String> events = new ArrayList<>();
        while (mEngine.nextStepAt().orElse(Long.MAX_VALUE) <= untilMs) {
            events.addAll(names(mEngine.step(mEngine.nextStepAt().getAsLong())));
        }
        return events;
    }

    private static String find(List<String> events, String suffix) {
        return events.stream().filter(e -> e.endsWith(suffix)).findFirst().orElseThrow();
    }

    private static List<String> names(List<EngineEvent> events) {
        return events.stream().map(EngineModelTest::name).toList();
    }

    private static String name(EngineEvent event) {
        String what = event instanceof EngineEvent.Token token ? ":" + token.offset() : " done";
        return event.atMs() + " " + event.job().attemptId() + what;
    }

    private static EngineJob job(String attempt, int priority, int tokens) {
        return job(attempt, priority, PROMPT, 0, tokens);
    }

    private static EngineJob job(String attempt, int priority, String prompt, int from, int end) {
        return new EngineJob(
                attempt,
                attempt,
                priority,
                new EngineJob.Prompt(
                        PromptTokens.count(prompt.length()), PromptTokens.blockHashes(prompt)),
                new EngineJob.Answer(attempt, from, end, false));
    }
}
