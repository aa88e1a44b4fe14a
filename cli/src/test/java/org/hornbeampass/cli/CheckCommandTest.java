package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Tests the check of a settings file. */
class CheckCommandTest {
    @TempDir private Path mDirectory;

    @Test
    void faults_areAllNamedWithLineAndColumn() throws IOException {
        Path file =
                Files.writeString(
                        mDirectory.resolve("router.json"),
                        """
                        {
                          // no name
                          "region": "r",
                          "colour": 1,
                          "objectives": {"first_token": "7 parsecs"}
                        }
                        """);

        Run run = Run.in(Map.of(), "check", file.toString());
        Run json = Run.in(Map.of(), "check", file.toString(), "--output", "json");

        assertThat(run.code()).isEqualTo(ErrorKind.FIELD_INVALID.exitCode());
        assertThat(run.out())
                .contains(":4:3: colour: there is no such field")
                .contains("objectives.first_token")
                .contains("name: it is missing");
        assertThat(json.out()).contains("\"line\" : 4").contains("\"path\" : \"colour\"");
    }

    @Test
    void fileThatIsNotThere_isNamed() {
        Run run = Run.in(Map.of(), "check", mDirectory.resolve("none.json").toString());

        assertThat(run.code()).isEqualTo(ErrorKind.NOT_FOUND.exitCode());
        assertThat(run.err()).contains("none.json can't be read");
    }
}
