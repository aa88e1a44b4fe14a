package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Properties of {@link EngineModel} under any mix of jobs. */
class EngineModelProperties {
    private static final EngineTiming TIMING = new EngineTiming(2, 0.3, 0.05, 64, 4, 8, 16);
    private static final int STEP_SIZE_MS = 3;

    @Property(seed = "20261202", tries = 200)
    void everyAcceptedJob_getsEachTokenOnceInOrderThenEnds(
            @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 300) Integer> sizes) {
        new Run().check(sizes);
    }

    /** One run of jobs, and what came of them. */
    private static final class Run {
        private final EngineModel mEngine = new EngineModel(TIMING, EngineNews.prompt());
        private final Map<String, EngineJob> mAccepted = new HashMap<>();
        private final Map<String, List<Integer>> mOffsets = new HashMap<>();
        private final List<String> mFinished = new ArrayList<>();

        void check(List<Integer> sizes) {
            long nowMs = 0;
            for (int i = 0; i < sizes.size(); i++) {
                offer(nowMs, "a" + i, sizes.get(i));
                nowMs += STEP_SIZE_MS;
                take(mEngine.step(nowMs));
                assertThat(mEngine.load(nowMs).running()).isLessThanOrEqualTo(TIMING.maxBatch());
            }
            while (mEngine.nextStepAt().isPresent()) {
                take(mEngine.step(mEngine.nextStepAt().getAsLong()));
            }

            assertThat(mFinished).containsExactlyInAnyOrderElementsOf(mAccepted.keySet());
            mAccepted.forEach(
                    (id, job) ->
                            assertThat(mOffsets.get(id))
                                    .isEqualTo(offsets(job.answer().from(), job.answer().end())));
        }

        private void offer(long nowMs, String id, int size) {
            EngineJob job =
                    new EngineJob(
                            id,
                            id,
                            size % 10,
                            new EngineJob.Prompt(size, new long[] {size % 7, size}),
                            new EngineJob.Answer(id, size % 3, 3 + size % 20, false));
            if (mEngine.offer(nowMs, job) == EngineModel.Offer.ACCEPTED) {
                mAccepted.put(id, job);
            }
        }

        private void take(List<EngineEvent> events) {
            for (EngineEvent event : events) {
                String id = event.job().attemptId();
                if (event instanceof EngineEvent.Token token) {
                    assertThat(mFinished).doesNotContain(id);
                    mOffsets.computeIfAbsent(id, k -> new ArrayList<>()).add(token.offset());
                } else {
                    mFinished.add(id);
                }
            }
        }
    }

    private static List<Integer> offsets(int from, int end) {
        List<Integer> offsets = new ArrayList<>();
        for (int i = from; i < end; i++) {
            offsets.add(i);
        }
        return offsets;
    }
}
