package org.hornbeampass.experiment.jmh;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.util.concurrent.TimeUnit;

/**
 * Measures what one bill costs on the VM that owns its shard: queue, batch, encode, decide, answer.
 *
 * <p>One thread; the platform answers at once and costs nothing.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {
            "-Xmx1g",
            "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED",
            "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED"
        })
public class RequestLedgerBenchmark {
    private static final int BATCH = 1_000;
    private static final long MEMORY_MS = 30_000;

    private LedgerUnderTest mLedger;

    /** Starts with an empty ledger. */
    @Setup(Level.Trial)
    public void setUp() {
        mLedger = new LedgerUnderTest(MEMORY_MS);
    }

    /** Bills a thousand new requests and commits them. */
    @Benchmark
    @OperationsPerInvocation(BATCH)
    public long bill() {
        mLedger.bill(BATCH);
        return mLedger.billed();
    }
}
