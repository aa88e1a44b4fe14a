package org.hornbeampass.experiment.jmh;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.coordination.routing.UpstreamChooser;
import org.hornbeampass.coordination.upstream.Placement;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.LoadReport;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Measures one routing decision with all that follows it: choose, started, first token, ended.
 *
 * <p>One VM before 13, 790 or 7,900 runners; up to 790 serve one model, 7,900 serve ten. Prompts
 * have 100 blocks, of which a runner may hold some. One thread.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ChooseBenchmark {
    private static final int BLOCKS = 100;
    private static final int PROMPTS = 256;
    private static final int PER_MODEL = 790;
    private static final int DOMAINS = 8;

    @Param({"13", "790", "7900"})
    int mRunners;

    @Param({"PREDICTED_WAIT", "TWO_CHOICES"})
    RoutingPolicy mPolicy;

    private UpstreamChooser mChooser;
    private RoutingQuery[] mQueries;
    private int mNext;
    private long mNowMs;

    /** Sets up a warm table. */
    @Setup
    public void setUp() {
        UpstreamTable table =
                new UpstreamTable(
                        new Placement("vm-0", new FailureDomain("d0"), new Region("r0")),
                        RoutingSettings.defaults());
        Map<UpstreamId, UpstreamSpec> specs = new HashMap<>();
        for (int i = 0; i < mRunners; i++) {
            UpstreamSpec spec = spec(i);
            specs.put(spec.id(), spec);
        }
        table.applyConfig(0, new ConfigSnapshot(1, Map.of(), Map.of(), specs));
        SplittableRandom random = new SplittableRandom(1);
        for (UpstreamId id : table.subset()) {
            ModelId model = specs.get(id).model().orElseThrow();
            table.onLoadReport(
                    0,
                    id,
                    new LoadReport(
                            0, 0, random.nextInt(30), 0, 0.5, false, Set.of(model), Set.of()));
        }
        mChooser = new UpstreamChooser(table, mPolicy, 1);
        mQueries = new RoutingQuery[PROMPTS];
        int models = (mRunners + PER_MODEL - 1) / PER_MODEL;
        for (int i = 0; i < PROMPTS; i++) {
            mQueries[i] = query(new ModelId("m" + i % models), random);
        }
        for (int i = 0; i < 20_000; i++) {
            choose();
        }
    }

    /** One decision and its bookkeeping. */
    @Benchmark
    public UpstreamChoice choose() {
        mNext = (mNext + 1) % PROMPTS;
        mNowMs++;
        UpstreamChoice choice = mChooser.choose(mNowMs, mQueries[mNext]).get();
        mChooser.onStarted(mNowMs, choice);
        mChooser.onFirstToken(mNowMs + 20, choice);
        mChooser.onEnded(mNowMs + 20, choice, AttemptOutcome.SUCCEEDED);
        return choice;
    }

    /** The decision alone; its place is given back unsent. */
    @Benchmark
    public UpstreamChoice chooseOnly() {
        mNext = (mNext + 1) % PROMPTS;
        UpstreamChoice choice = mChooser.choose(mNowMs, mQueries[mNext]).get();
        mChooser.onEnded(mNowMs, choice, AttemptOutcome.NOT_SENT);
        return choice;
    }

    private static RoutingQuery query(ModelId model, SplittableRandom random) {
        return new RoutingQuery(
                WorkTarget.model(model),
                new OrganisationId("o"),
                5,
                PrefixDigests.of(random.longs(BLOCKS).toArray()),
                Set.of(),
                Deadline.none());
    }

    private static UpstreamSpec spec(int number) {
        return new UpstreamSpec(
                new UpstreamId("runner-" + number),
                "http://127.0.0.1:1",
                Optional.of(new ModelId("m" + number / PER_MODEL)),
                Optional.empty(),
                new FailureDomain("d" + number % DOMAINS),
                new Region("r" + number % DOMAINS % 3),
                true,
                1_000);
    }
}
