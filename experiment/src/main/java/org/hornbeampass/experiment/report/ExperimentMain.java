package org.hornbeampass.experiment.report;

import io.vavr.control.Either;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.hornbeampass.experiment.run.Experiment;
import org.hornbeampass.experiment.run.ExperimentFile;
import org.hornbeampass.experiment.run.Experiments;
import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.Finding;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.state.Failure;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;

/**
 * The command that runs an experiment and judges it from outside the routers.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "hornbeampass-experiment",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Runs an experiment on real routers and stand-ins over loopback, in one JVM.",
            "Exit code 0 only where the verdict passes; 1 where it fails; 3 for a faulty file."
        },
        footer = {
            "%nExamples:",
            "  hornbeampass-experiment experiments/smoke.json",
            "  hornbeampass-experiment experiments/flight-desk.json --out now --compare before"
        })
public final class ExperimentMain implements Callable<Integer> {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_FILE = 3;
    private static final int MAX_SHOWN = 20;

    @Parameters(paramLabel = "FILE", description = "The experiment, JSON with comments.")
    private Path mFile;

    @Option(
            names = "--out",
            paramLabel = "DIRECTORY",
            description = "Where the result goes. Default: target/experiments/NAME.")
    private Path mOut;

    @Option(
            names = "--compare",
            paramLabel = "OLD",
            description = "An earlier result, its file or its directory.")
    private Path mOld;

    @Option(names = "--check", description = "Check the file and exit.")
    private boolean mCheck;

    @Option(names = "--log", description = "Show the routers' logs.")
    private boolean mLog;

    private final PrintWriter mPrinter = new PrintWriter(System.out, true, StandardCharsets.UTF_8);

    /** Runs the command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ExperimentMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        Either<Faults, Experiment> read =
                ExperimentFile.read(mFile.toString(), Files.readString(mFile));
        if (read.isLeft()) {
            read.getLeft().lines().forEach(mPrinter::println);
            return EXIT_FILE;
        }
        if (mCheck) {
            mPrinter.println(mFile + " is well-formed");
            return 0;
        }
        Optional<Result> old = Optional.empty();
        if (mOld != null) {
            Either<Failure, Result> before = ReportFiles.read(mOld);
            if (before.isLeft()) {
                mPrinter.println(mOld + ": " + before.getLeft().message());
                return EXIT_FILE;
            }
            old = Optional.of(before.get());
        }
        if (!mLog) {
            Configurator.setRootLevel(Level.OFF);
        }
        return run(read.get(), old);
    }

    private int run(Experiment experiment, Optional<Result> old) throws IOException {
        Outcome outcome = Experiments.run(experiment, mPrinter);
        Result result = Result.of(outcome);
        Optional<Comparison> comparison = old.map(before -> Comparison.of(before, result));
        Path directory = mOut == null ? Path.of("target", "experiments", experiment.name()) : mOut;
        ReportFiles.write(directory, outcome, result, comparison);
        show(result);
        comparison.ifPresent(c -> c.lines().forEach(mPrinter::println));
        mPrinter.println("written: " + directory.resolve("index.html"));
        return result.passes() ? 0 : EXIT_FAILED;
    }

    private void show(Result result) {
        result.figures().forEach((name, value) -> mPrinter.printf("%-34s %12.2f%n", name, value));
        result.failedSteps().forEach(mPrinter::println);
        result.findings().stream().limit(MAX_SHOWN).forEach(this::show);
        int more = result.findings().size() - MAX_SHOWN;
        if (more > 0) {
            mPrinter.println("and " + more + " findings more; the page lists them");
        }
        if (result.unanswered() > 0) {
            mPrinter.println(result.unanswered() + " requests had not ended");
        }
        mPrinter.println(result.passes() ? "verdict: PASS" : "verdict: FAIL");
    }

    private void show(Finding finding) {
        mPrinter.println(finding.rule() + ": " + finding.subject() + " " + finding.detail());
    }
}
