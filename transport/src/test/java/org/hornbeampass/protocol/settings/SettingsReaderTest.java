package org.hornbeampass.protocol.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.RunState;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Tests that {@link SettingsReader} returns the expected value or the expected faults of a text.
 */
class SettingsReaderTest {
    /** Settings with fields of several types. */
    private record Sample(
            String name,
            long timeoutMs,
            long size,
            int count,
            RunState state,
            Optional<InetSocketAddress> listen,
            List<String> parts) {}

    private static Sample build(SettingsNode node) {
        return new Sample(
                node.requiredString("name"),
                node.optionalDuration("timeout", 250, 1, 60_000),
                node.optionalSize("size", 1024, 1, 1 << 20),
                node.optionalInt("count", 3, 1, 10),
                node.optionalEnum("state", RunState.RAN),
                node.optionalAddress("listen"),
                node.list("parts", SettingsReaderTest::buildPart));
    }

    private static String buildPart(SettingsNode node) {
        return node.requiredString("id")
                + node.optionalAddress("address").map(InetSocketAddress::getPort).orElse(0);
    }

    @Test
    void commentsAndTrailingCommas_areAllowed() {
        String text =
                """
                { // the VM
                  "name": "vm-1", /* five
                  seconds */ "timeout": "5s", "size": "1MiB", "state": "not_run",
                  "listen": "127.0.0.1:7400",
                  "parts": [{"id": "a", "address": "10.0.0.1:1"}, {"id": "b"},],
                }
                """;

        Sample sample = SettingsReader.read("s", text, SettingsReaderTest::build).get();

        assertThat(sample.name()).isEqualTo("vm-1");
        assertThat(sample.timeoutMs()).isEqualTo(5_000);
        assertThat(sample.size()).isEqualTo(1 << 20);
        assertThat(sample.count()).isEqualTo(3);
        assertThat(sample.state()).isEqualTo(RunState.NOT_RUN);
        assertThat(sample.listen().orElseThrow().getPort()).isEqualTo(7400);
        assertThat(sample.parts()).containsExactly("a1", "b0");
    }

    @Test
    void allFaults_areReportedAtOnce_withPositionAndRemedy() {
        String text =
                """
                {
                  "timeout": "5 sec",
                  "size": "2MiB",
                  "count": "three",
                  "sate": "ran",
                  "state": "walked",
                  "listen": "10.0.0.1:1",
                  "parts": [{"id": "a", "address": "10.0.0.1:1"}, {"id": " ", "address": "host:1"}]
                }
                """;

        assertThat(faults(text))
                .containsExactly(
                        "s:1:1: name: it is missing; add it",
                        "s:2:14: timeout: \"5 sec\" is not a duration; write a whole number and one"
                                + " of ms, s, m, h, d, such as \"250ms\"",
                        "s:3:11: size: 2MiB is out of range; use 1B to 1MiB",
                        "s:4:12: count: it is a string; write a whole number from 1 to 10",
                        "s:5:3: sate: there is no such field; did you mean \"state\"?",
                        "s:6:12: state: \"walked\" is unknown; use one of not_run, ran, unknown",
                        "s:8:36: parts[0].address: the address is used by listen already; use"
                                + " another",
                        "s:8:58: parts[1].id: it is blank; write a string that is not blank",
                        "s:8:74: parts[1].address: \"host:1\" is invalid; write an IP address and"
                                + " a port, such as \"10.0.0.1:7400\" or \"[fd00::1]:7400\"");
    }

    @Test
    void syntaxError_isReportedWithItsPosition() {
        assertThat(faults("{\n  \"name\": }")).singleElement().asString().startsWith("s:2:11: ");
    }

    @Test
    void duplicateField_isReported() {
        assertThat(faults("{\"name\": \"a\",\n \"name\": \"b\"}"))
                .containsExactly(
                        "s:2:2: name: the field is set in line 1 already; keep one of the two");
    }

    @Test
    void valueOtherThanAnObject_isReported() {
        assertThat(faults("[]")).contains("s:1:1: it is a list; write an object in braces");
    }

    @Test
    void emptyText_isReported() {
        assertThat(faults("")).containsExactly("s:1:1: the text is empty; write a JSON object");
    }

    @Test
    void exceptionOfTheBuilder_isReported() {
        Either<Faults, Integer> result =
                SettingsReader.read(
                        "s",
                        "{}",
                        node -> {
                            throw new IllegalArgumentException("a must be below b");
                        });

        assertThat(result.getLeft().toString()).contains("a must be below b");
    }

    @Test
    void units_parseAndFormatTheSameAmount() {
        assertThat(Units.durationMs("13s")).hasValue(13_000);
        assertThat(Units.durationText(13_000)).isEqualTo("13s");
        assertThat(Units.durationMs("1.5s")).isEmpty();
        assertThat(Units.durationMs("99999999999999999d")).isEmpty();
        assertThat(Units.sizeBytes("3KiB")).hasValue(3072);
        assertThat(Units.sizeBytes("3KB")).isEmpty();
        assertThat(Units.sizeText(3072)).isEqualTo("3KiB");
        assertThat(Units.sizeText(0)).isEqualTo("0B");
    }

    private static List<String> faults(String text) {
        return SettingsReader.read("s", text, SettingsReaderTest::build).getLeft().lines();
    }
}
