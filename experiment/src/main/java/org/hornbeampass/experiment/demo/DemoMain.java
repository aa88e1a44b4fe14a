package org.hornbeampass.experiment.demo;

import org.hornbeampass.experiment.caller.ChatCaller;
import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.fleet.FleetSpec;
import org.hornbeampass.experiment.fleet.Operator;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.NettyHttpClient;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Runs the main job in one JVM: sets a fleet up as an operator, sends requests as callers, and
 * compares each organisation's bills with the tokens that its callers received.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "hornbeampass-demo",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Runs a platform stand-in, routers in three failure domains, upstreams and callers"
                        + " in one JVM, then prints the bills. Exits with 0 only where each bill"
                        + " equals the tokens that its caller received.")
public final class DemoMain implements Callable<Integer> {
    private static final int EXIT_BILLED_WRONG = 1;
    private static final int MAX_TRIES = 6;

    @Option(names = "--routers", defaultValue = "6", description = "Default: ${DEFAULT-VALUE}.")
    private int mRouters = 6;

    @Option(
            names = "--requests",
            defaultValue = "300",
            description = "Requests in all. Default: ${DEFAULT-VALUE}.")
    private int mRequests = 300;

    @Option(
            names = "--rate",
            defaultValue = "100",
            description = "Requests a second. Default: ${DEFAULT-VALUE}.")
    private int mRate = 100;

    @Option(
            names = "--crash",
            description = "Crash a router while requests are in progress, and start it anew.")
    private boolean mCrash;

    /** Runs the demo and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new DemoMain()).execute(args));
    }

    @Override
    public Integer call() {
        PrintWriter out =
                new PrintWriter(System.out, true, java.nio.charset.StandardCharsets.UTF_8);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        out.println("starting a platform, " + mRouters + " routers, 6 engines and 3 services");
        try (Fleet fleet = Fleet.start(FleetSpec.flightDesk(mRouters));
                HttpClient client = NettyHttpClient.create(Clock.monotonic())) {
            return run(fleet, new ChatCaller(client, timer, MAX_TRIES), timer, out);
        } finally {
            timer.shutdownNow();
        }
    }

    private int run(
            Fleet fleet, ChatCaller caller, ScheduledExecutorService timer, PrintWriter out) {
        Operator operator = new Operator(fleet);
        operator.setUpFleet();
        List<DemoOrganisation> organisations = DemoOrganisation.createAll(operator);
        operator.awaitInForce();
        out.println("sending " + mRequests + " requests at " + mRate + " a second");
        DemoLoad load = new DemoLoad(fleet, caller, timer, mRate);
        DemoTally tally = load.run(organisations, mRequests, mCrash);
        DemoReport report = DemoReport.of(operator, organisations, tally);
        report.print(out);
        out.println(operator.print("audit"));
        return report.agrees() ? 0 : EXIT_BILLED_WRONG;
    }
}
