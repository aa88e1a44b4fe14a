package org.hornbeampass.experiment.report;

import io.vavr.control.Either;

import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Writes a result, its plots and its page into a directory, and reads an earlier result.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class ReportFiles {
    private static final String RESULT = "result.json";
    private static final String REQUESTS = "requests.csv";
    private static final String PAGE = "index.html";

    private ReportFiles() {}

    /** Reads an earlier result from its file or its directory. */
    public static Either<Failure, Result> read(Path path) throws IOException {
        Path file = Files.isDirectory(path) ? path.resolve(RESULT) : path;
        return Json.decode(Files.readString(file), Result.class);
    }

    /** Writes all files; the directory is made where it is missing. */
    public static void write(
            Path directory, Outcome outcome, Result result, Optional<Comparison> comparison)
            throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve(RESULT), Json.encode(result) + "\n");
        Files.writeString(directory.resolve(REQUESTS), RequestTable.text(outcome));
        Plots.write(directory, outcome);
        Files.writeString(directory.resolve(PAGE), ResultPage.html(outcome, result, comparison));
    }
}
