package org.hornbeampass;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Checks that links in the documentation refer to existing files and that the indexes list every
 * page.
 */
class DocumentsTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]+)(#[^)]*)?\\)");

    @Test
    void links_leadToFiles() throws IOException {
        List<String> broken = new ArrayList<>();
        for (Path page : pages()) {
            Matcher link = LINK.matcher(Files.readString(page));
            while (link.find()) {
                if (!isExternal(link.group(1))
                        && !Files.exists(page.resolveSibling(link.group(1)))) {
                    broken.add(ROOT.relativize(page) + " -> " + link.group(1));
                }
            }
        }

        assertThat(broken).as("links to files that don't exist").isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"OPERATIONS.md, operations", "DESIGN.md, design"})
    void index_namesEachPage(String index, String directory) throws IOException {
        Path docs = ROOT.resolve("docs");
        String text = Files.readString(docs.resolve(index));

        assertThat(markdown(docs.resolve(directory), 1))
                .isNotEmpty()
                .allSatisfy(
                        page ->
                                assertThat(text)
                                        .contains("](" + directory + "/" + page.getFileName()));
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(markdown(ROOT.resolve("docs"), Integer.MAX_VALUE));
        pages.add(ROOT.resolve("README.md"));
        pages.add(ROOT.resolve("coordination/README.md"));
        return pages;
    }

    private static List<Path> markdown(Path directory, int depth) throws IOException {
        try (Stream<Path> files = Files.walk(directory, depth)) {
            return files.filter(f -> f.toString().endsWith(".md")).sorted().toList();
        }
    }

    private static boolean isExternal(String target) {
        return target.contains("://") || target.startsWith("mailto:");
    }
}
