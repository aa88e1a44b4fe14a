package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks which settings of a changed file are applied, with and without a signal. */
class SettingsReloadTest {
    private static final String TEXT =
            """
            {
              // A VM of a test.
              "name": "vm-1", "region": "r", "failure_domain": "d",
              "listen": {
                "callers": "127.0.0.1:1", "directory": "127.0.0.1:2",
                "readiness": "127.0.0.1:3", "peers": "127.0.0.1:4"
              },
              "platform": "http://127.0.0.1:5",
              "cluster_key": "a-key-of-the-test",
              "seeds": ["127.0.0.1:6"],
              "retries": {"ratio": 0.2, "extra": 56, "window": "10s"}
            }
            """;

    @TempDir private Path mDirectory;
    private final List<RelayDaemonSettings> mApplied = new ArrayList<>();

    private SettingsReload reload() throws IOException {
        Path file = mDirectory.resolve("router.json");
        Files.writeString(file, TEXT);
        RelayDaemonSettings settings = RelaySettingsFile.read("router.json", TEXT).get();
        return new SettingsReload(file, TEXT, settings, mApplied::add);
    }

    private void write(String text) throws IOException {
        Files.writeString(mDirectory.resolve("router.json"), text);
    }

    @Test
    void unchangedFile_isAppliedAgainOnlyOnASignal() throws IOException {
        SettingsReload reload = reload();
        reload.checkFile();
        assertThat(mApplied).isEmpty();
        reload.onSignal();
        assertThat(mApplied).hasSize(1);
    }

    @Test
    void changedFile_isAppliedWithoutASignal() throws IOException {
        SettingsReload reload = reload();
        write(TEXT.replace("127.0.0.1:6", "127.0.0.1:7").replace("\"extra\": 56", "\"extra\": 9"));
        reload.checkFile();
        assertThat(mApplied).hasSize(1);
        assertThat(mApplied.get(0).seeds().get(0).getPort()).isEqualTo(7);
        assertThat(mApplied.get(0).relay().retryExtra()).isEqualTo(9);
        reload.checkFile();
        assertThat(mApplied).hasSize(1);
    }

    @Test
    void intakePauses_onlyWhereTheInstallationHasTheFeature() {
        assertThat(pausesIntake("")).isFalse();
        assertThat(pausesIntake("\"pause_intake\": true,")).isTrue();
        String feature = "\"pause_intake_feature\": \"slow\",";
        assertThat(pausesIntake(feature)).isFalse();
        assertThat(pausesIntake(feature + "\"features\": [\"base\", \"slow\"],")).isTrue();
        assertThat(pausesIntake(feature + "\"features\": [\"base\"],")).isFalse();
    }

    private static boolean pausesIntake(String fields) {
        String text = TEXT.replace("\"seeds\"", fields + "\"seeds\"");
        return RelaySettingsFile.read("router.json", text).get().load().pauseIntake();
    }

    @Test
    void settingsThatNeedARestart_keepTheirValuesAndAreReported() throws IOException {
        SettingsReload reload = reload();
        String changed = TEXT.replace("127.0.0.1:1", "127.0.0.1:9").replace("vm-1", "vm-2");
        write(changed);
        reload.checkFile();
        assertThat(mApplied.get(0).name()).isEqualTo("vm-1");
        RelayDaemonSettings before = RelaySettingsFile.read("a", TEXT).get();
        RelayDaemonSettings after = RelaySettingsFile.read("b", changed).get();
        assertThat(before.changesThatNeedRestart(after)).containsExactly("name", "listen");
    }

    @Test
    void invalidFile_changesNothingUntilItIsCorrected() throws IOException {
        SettingsReload reload = reload();
        write(TEXT.replace("\"ratio\": 0.2", "\"ratio\": -1"));
        reload.checkFile();
        reload.onSignal();
        assertThat(mApplied).isEmpty();
        write(TEXT.replace("\"ratio\": 0.2", "\"ratio\": 0.3"));
        reload.checkFile();
        assertThat(mApplied.get(0).relay().retryRatio()).isEqualTo(0.3);
    }

    @Test
    void partsForHardLoad_areOffWithoutTheirSettings() {
        RelayDaemonSettings settings = RelaySettingsFile.read("a", TEXT).get();
        assertThat(settings.load()).isEqualTo(LoadSettings.NONE);
        assertThat(settings.evacuations()).isTrue();
        String capacity = "\"capacity\": {\"processor_share\": 0.75, \"processor_cores\": 2}, ";
        String set =
                TEXT.replace("\"retries\"", capacity + "\"watch_evacuations\": false, \"retries\"");
        RelayDaemonSettings changed = RelaySettingsFile.read("b", set).get();
        assertThat(changed.load().capacity().orElseThrow().cores()).isEqualTo(1.5);
        assertThat(changed.evacuations()).isFalse();
        assertThat(settings.changesThatNeedRestart(changed))
                .containsExactly("watch_evacuations", "capacity");
    }
}
