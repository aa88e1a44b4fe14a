package org.hornbeampass.experiment.path;

import org.HdrHistogram.Histogram;
import org.hornbeampass.standin.engine.EngineSettings;
import org.hornbeampass.standin.engine.EngineStandIn;
import org.hornbeampass.standin.engine.EngineTiming;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpClientSettings;
import org.hornbeampass.transport.http.NettyHttpClient;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures what a router adds to the latency of an upstream, and what it costs, in one run.
 *
 * <p>At each rate, half of the requests go to the upstream directly and half through the router, in
 * turn, so that both meet the same conditions. The upstream, the platform stand-in, the router and
 * the load run in one process; the router's processor time is that of its own threads. Not
 * thread-safe.
 */
@Command(
        name = "path-load",
        mixinStandardHelpOptions = true,
        description = "Prints latencies with and without a router.")
public final class PathLoad implements Callable<Integer> {
    private static final double NS_PER_MS = 1e6;
    private static final double NS_PER_SECOND = 1e9;
    private static final int CLIENT_THREADS = 2;
    private static final int ENGINES = 4;

    @Option(
            names = "--rates",
            split = ",",
            description = "requests per second through the router (default: 1000)")
    private List<Integer> mRates = List.of(1_000);

    @Option(names = "--seconds", description = "how long each rate lasts (default: 10)")
    private int mSeconds = 10;

    @Option(names = "--warmup", description = "seconds at each rate before (default: 5)")
    private int mWarmup = 5;

    @Option(names = "--tokens", description = "tokens of each answer (default: 4)")
    private int mTokens = 4;

    @Option(names = "--workers", description = "event loops of the router (default: 4)")
    private int mWorkers = 4;

    @Option(names = "--engine", description = "use engine stand-ins in place of canned answers")
    private boolean mEngine;

    @Option(names = "--no-direct", description = "send nothing to the upstream directly")
    private boolean mNoDirect;

    private final List<AutoCloseable> mToClose = new ArrayList<>();
    private final PrintWriter mOut = new PrintWriter(System.out, true, StandardCharsets.UTF_8);

    /** Runs the command. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new PathLoad()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        List<String> upstreams = mEngine ? engines() : List.of(canned());
        PathUnderLoad path = new PathUnderLoad(mWorkers, upstreams);
        mToClose.add(path);
        EventLoops loops = EventLoops.create(CLIENT_THREADS, "load");
        HttpClient client =
                NettyHttpClient.create(
                        loops,
                        HttpClientSettings.STANDARD.withPool(1_024, 100_000),
                        Clock.monotonic());
        OpenLoopLoad direct = new OpenLoopLoad(client, request(upstreams.get(0)), mTokens);
        OpenLoopLoad routed = new OpenLoopLoad(client, request(path.uri()), mTokens);
        mOut.printf(
                "%8s %-7s %9s %7s %8s %8s %8s %8s %8s %8s %11s%n",
                "rate/s",
                "path",
                "requests",
                "errors",
                "first50",
                "first99",
                "token50",
                "token99",
                "whole50",
                "whole99",
                "req/s/core");
        for (int rate : mRates) {
            measure(rate, direct, routed);
        }
        client.close();
        loops.close();
        for (AutoCloseable each : mToClose) {
            each.close();
        }
        return 0;
    }

    private void measure(int rate, OpenLoopLoad direct, OpenLoopLoad routed) {
        run(rate, mWarmup, direct, routed);
        direct.take();
        routed.take();
        long cpuNs = ThreadCpu.ofThreads(PathUnderLoad.VM);
        run(rate, mSeconds, direct, routed);
        long usedNs = ThreadCpu.ofThreads(PathUnderLoad.VM) - cpuNs;
        OpenLoopLoad.Result directly = direct.take();
        OpenLoopLoad.Result through = routed.take();
        print(rate, "direct", directly, 0);
        print(rate, "router", through, usedNs);
        if (!mNoDirect) {
            mOut.printf(
                    "%8d added   first part p50 %.3f p99 %.3f ms, last token p50 %.3f p99 %.3f"
                            + " ms%n",
                    rate,
                    ms(through.firstNs(), 50) - ms(directly.firstNs(), 50),
                    ms(through.firstNs(), 99) - ms(directly.firstNs(), 99),
                    ms(through.tokensNs(), 50) - ms(directly.tokensNs(), 50),
                    ms(through.tokensNs(), 99) - ms(directly.tokensNs(), 99));
        }
    }

    private void run(int rate, int seconds, OpenLoopLoad direct, OpenLoopLoad routed) {
        long gapNs = TimeUnit.SECONDS.toNanos(1) / rate;
        long count = (long) rate * seconds;
        long startNs = System.nanoTime();
        for (long i = 0; i < count; i++) {
            long dueNs = startNs + i * gapNs;
            waitUntil(dueNs);
            routed.send(dueNs);
            if (!mNoDirect) {
                waitUntil(dueNs + gapNs / 2);
                direct.send(dueNs + gapNs / 2);
            }
        }
        routed.drain();
        direct.drain();
    }

    private static void waitUntil(long dueNs) {
        long leftNs = dueNs - System.nanoTime();
        while (leftNs > 0) {
            if (leftNs > 60_000) {
                LockSupport.parkNanos(leftNs - 50_000);
            } else {
                Thread.onSpinWait();
            }
            leftNs = dueNs - System.nanoTime();
        }
    }

    private void print(int rate, String path, OpenLoopLoad.Result result, long cpuNs) {
        long count = result.wholeNs().getTotalCount();
        mOut.printf(
                "%8d %-7s %9d %7d %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %11s%n",
                rate,
                path,
                count,
                result.errors(),
                ms(result.firstNs(), 50),
                ms(result.firstNs(), 99),
                ms(result.tokensNs(), 50),
                ms(result.tokensNs(), 99),
                ms(result.wholeNs(), 50),
                ms(result.wholeNs(), 99),
                cpuNs == 0 ? "-" : String.format("%.0f", count / (cpuNs / NS_PER_SECOND)));
    }

    private static double ms(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NS_PER_MS;
    }

    private String canned() {
        CannedUpstream upstream = new CannedUpstream(2, mTokens);
        mToClose.add(upstream);
        return upstream.uri();
    }

    private List<String> engines() {
        List<String> uris = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            EngineStandIn engine =
                    EngineStandIn.start(
                            EngineSettings.defaults(PathUnderLoad.MODEL)
                                    .withTiming(
                                            new EngineTiming(
                                                    1.0, 0.001, 0.0001, 1 << 20, 512, 10_000,
                                                    4_096)));
            mToClose.add(engine);
            uris.add(engine.uri());
        }
        return uris;
    }

    private HttpClient.Request request(String base) {
        String body =
                "{\"model\":\""
                        + PathUnderLoad.MODEL
                        + "\",\"stream\":true,\"stream_options\":{\"include_usage\":true},"
                        + "\"max_tokens\":"
                        + mTokens
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"[[tokens="
                        + mTokens
                        + "]] when does the next flight leave?\"}]}";
        return new HttpClient.Request(
                "POST",
                URI.create(base + "/v1/chat/completions"),
                Map.of(
                        "authorization",
                        "Bearer " + PathUnderLoad.KEY,
                        "content-type",
                        "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                1_000,
                10_000);
    }
}
