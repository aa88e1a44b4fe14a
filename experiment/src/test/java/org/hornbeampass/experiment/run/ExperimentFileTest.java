package org.hornbeampass.experiment.run;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.experiment.run.FaultStep.Direction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Tests {@link ExperimentFile} on the shipped files and on faulty ones. */
class ExperimentFileTest {
    private static final String HEAD =
            """
            {
              "name": "n", "duration": "1s",
              "fleet": {"region": "r", "domains": ["d"], "routers": 2, "model": "m",
                        "engines": 1, "service": "s", "services": 1},
              "organisations": {
                "o": {"paid_tokens": 10, "demand": [{"per_second": 1}],
                      "mix": [{"kind": "chat"}]}
              },
            """;

    @ParameterizedTest
    @ValueSource(strings = {"smoke", "flight-desk", "moulding-utility"})
    void shippedFile_isWellFormed(String name) throws IOException {
        Path file = Path.of("..", "experiments", name + ".json");

        var read = ExperimentFile.read(name, Files.readString(file));

        assertThat(read.isRight()).as(() -> read.getLeft().toString()).isTrue();
        assertThat(read.get().name()).isEqualTo(name);
    }

    @Test
    void timeline_isSortedByTime() {
        Experiment read =
                ExperimentFile.read(
                                "file",
                                HEAD
                                        + "\"timeline\": [{\"at\": \"9s\", \"fault\":"
                                        + " \"platform_outage\"}, {\"at\": \"2s\", \"fault\":"
                                        + " \"peers_cut\", \"targets\": [\"vm-1\"],"
                                        + " \"direction\": \"in\"}]}")
                        .get();

        assertThat(read.timeline()).extracting(FaultStep::atMs).containsExactly(2_000L, 9_000L);
        assertThat(read.timeline().get(0).direction()).isEqualTo(Direction.IN);
    }

    @Test
    void stepsThatNameWhatIsNotThere_areAllReportedWithTheirPlaces() {
        List<String> lines =
                ExperimentFile.read(
                                "file",
                                HEAD
                                        + "\"timeline\": [\n"
                                        + "{\"at\": \"1s\", \"fault\": \"router_crash\","
                                        + " \"targets\": [\"vm-7\"]},\n"
                                        + "{\"at\": \"1s\", \"fault\": \"top_up\","
                                        + " \"organisation\": \"x\"}]}")
                        .getLeft()
                        .lines();

        assertThat(lines)
                .containsExactly(
                        "file:10:50: timeline[0].targets: there is no vm-7; use vm-0 to vm-1",
                        "file:11:49: timeline[1].organisation: there is no \"x\"; use the name of"
                                + " one of the organisations");
    }

    @Test
    void missingAndUnknownFields_areReportedTogether() {
        List<String> lines = ExperimentFile.read("file", "{\"nmae\": \"n\"}").getLeft().lines();

        assertThat(lines).anyMatch(l -> l.contains("did you mean \"name\"?"));
        assertThat(lines).anyMatch(l -> l.contains("fleet: it is missing"));
    }
}
