package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Checks which settings are read from a text, and which faults are reported. */
class SettingsFileTest {
    private static final Path EXAMPLE = Path.of("..", "docs", "examples", "router.json");

    private static List<String> faults(String text) {
        return SettingsFile.read("r.json", text).getLeft().lines();
    }

    @Test
    void exampleFile_isValid() throws IOException {
        RouterSettings settings = SettingsFile.read("router.json", Files.readString(EXAMPLE)).get();
        assertThat(settings.place().name()).isEqualTo("vm-1");
        assertThat(settings.listen().callers().getPort()).isEqualTo(7080);
        assertThat(settings.execution().maxDrainMs()).isEmpty();
    }

    @Test
    void faults_areReportedAllAtOnce() throws IOException {
        String text =
                Files.readString(EXAMPLE)
                        .replace("\"name\": \"vm-1\"", "\"nam\": \"vm-1\"")
                        .replace("127.0.0.1:7081", "127.0.0.1:7080")
                        .replace("change-this-cluster-key", "short");
        assertThat(faults(text))
                .anyMatch(line -> line.contains("name: it is missing"))
                .anyMatch(line -> line.contains("nam: there is no such field"))
                .anyMatch(
                        line ->
                                line.contains(
                                        "listen.operators: the address is used by listen.callers"))
                .anyMatch(line -> line.contains("the key is shorter than 16 characters"));
    }

    @Test
    void keys_areNotPartOfToString() throws IOException {
        RouterSettings settings = SettingsFile.read("router.json", Files.readString(EXAMPLE)).get();
        assertThat(settings.toString())
                .doesNotContain("change-this-cluster-key")
                .doesNotContain("change-this-platform-key");
    }
}
