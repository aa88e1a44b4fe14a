package org.hornbeampass.router.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Checks that docs/ERRORS.md describes every error kind as the code defines it. */
class ErrorPageTest {
    private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void eachKind_hasItsSection(ErrorKind kind) throws IOException {
        String page = Files.readString(PAGE);
        int start = page.indexOf("## " + kind.name() + "\n");
        assertThat(start).as("section of " + kind).isNotNegative();
        int next = page.indexOf("\n## ", start + 1);
        String section = page.substring(start, next < 0 ? page.length() : next);
        assertThat(section)
                .contains("- Cause: ")
                .contains("HTTP " + kind.httpStatus() + ",")
                .contains("`" + kind.type() + "`")
                .contains("`" + kind.code() + "`")
                .contains(kind.retryable() ? ", retryable," : ", not retryable,")
                .contains("exit code " + kind.exitCode() + ".")
                .contains("- Ran: `" + kind.runState().wireName() + "`.")
                .contains("- Mend: ");
    }
}
