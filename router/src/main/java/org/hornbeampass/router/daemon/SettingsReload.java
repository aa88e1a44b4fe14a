package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reloads the settings on SIGHUP, and periodically if the file has changed. Applies what can change
 * while the daemon runs, and logs what needs a restart.
 *
 * <p>Invariant: settings with faults change nothing. Thread-safe: the last text and settings are
 * guarded by the lock of this object.
 */
final class SettingsReload {
    private static final Logger LOG = LogManager.getLogger("decisions");

    /** Interval of reading the file without a signal, in milliseconds; it has only some 2 KB. */
    static final long CHECK_INTERVAL_MS = 2_000;

    private final Path mFile;
    private final Consumer<RelayDaemonSettings> mApply;
    private String mLastText;
    private RelayDaemonSettings mSettings;

    /**
     * Creates the reload of one daemon.
     *
     * @param file the settings file
     * @param text the content of the file at the start
     * @param settings the settings that the daemon was started with
     * @param apply receives the settings to apply, as {@link RelayDaemonSettings#withReloadable}
     *     returns them
     */
    SettingsReload(
            Path file,
            String text,
            RelayDaemonSettings settings,
            Consumer<RelayDaemonSettings> apply) {
        mFile = file;
        mLastText = text;
        mSettings = settings;
        mApply = apply;
    }

    /** Reloads the settings on a signal, and logs it even if nothing has changed. */
    synchronized void onSignal() {
        Optional<String> text = read();
        if (text.isPresent()) {
            reload(text.get(), "signal");
        }
    }

    /** Reloads the settings if the file has changed; logs nothing otherwise. */
    synchronized void checkFile() {
        Optional<String> text = read();
        if (text.isPresent() && !text.get().equals(mLastText)) {
            reload(text.get(), "file");
        }
    }

    private Optional<String> read() {
        try {
            return Optional.of(Files.readString(mFile));
        } catch (IOException e) {
            LOG.warn("{\"kind\":\"reload-failed\",\"reason\":\"the settings can't be read\"}");
            return Optional.empty();
        }
    }

    private void reload(String text, String cause) {
        mLastText = text;
        var parsed = RelaySettingsFile.read(mFile.toString(), text);
        if (parsed.isLeft()) {
            LOG.warn(
                    "{\"kind\":\"reload-failed\",\"cause\":\"{}\",\"reason\":\"{}\"}",
                    cause,
                    String.join("; ", parsed.getLeft().lines()).replace('"', '\''));
            return;
        }
        List<String> needRestart = mSettings.changesThatNeedRestart(parsed.get());
        RelayDaemonSettings adopted = mSettings.withReloadable(parsed.get());
        boolean changed = !adopted.equals(mSettings);
        mSettings = adopted;
        mApply.accept(adopted);
        LOG.info(
                "{\"kind\":\"reload\",\"cause\":\"{}\",\"in_force\":{},\"needs_restart\":\"{}\"}",
                cause,
                changed,
                String.join(",", needRestart));
    }
}
