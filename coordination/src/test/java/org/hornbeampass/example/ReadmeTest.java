package org.hornbeampass.example;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Checks that the example in the library's README equals the one that is compiled and run. */
class ReadmeTest {
    private static final Path EXAMPLE =
            Path.of("src/test/java/org/hornbeampass/example/EmbeddedLibraryTest.java");
    private static final String FENCE = "```";

    @Test
    void quotedExample_equalsTheFile() throws IOException {
        String readme = Files.readString(Path.of("README.md"));
        String opening = FENCE + "java\n";

        assertThat(readme).containsOnlyOnce(opening);
        int start = readme.indexOf(opening) + opening.length();
        String quoted = readme.substring(start, readme.indexOf(FENCE, start));

        assertThat(quoted).isEqualTo(Files.readString(EXAMPLE));
    }
}
