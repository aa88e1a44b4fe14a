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
 * Reads the settings again on SIGHUP, and now and then in case they changed without one; puts in
 * force what can be, and says what needs a restart.
 *
 * <p>Invariant: settings with faults change nothing. Thread-safe: the last text and settings are
 * guarded by its lock.
 */
final class SettingsReload {
    private static final Logger LOG = LogManager.getLogger("decisions");

    /** How often the file is looked at without a signal, in milliseconds; it has some 2 KB. */
    static final long CHECK_INTERVAL_MS = 2_000;

    private final Path mFile;
    private final Consumer<RelayDaemonSettings> mApply;
    private String mText;
    private RelayDaemonSettings mSettings;

    /**
     * Makes the reload of one daemon.
     *
     * @param file the settings file
     * @param text what it held at the start
     * @param settings the settings in force
     * @param apply takes settings of which {@link RelayDaemonSettings#withReloadable} says what is
     *     in force
     */
    SettingsReload(
            Path file,
            String text,
            RelayDaemonSettings settings,
            Consumer<RelayDaemonSettings> apply) {
        mFile = file;
        mText = text;
        mSettings = settings;
        mApply = apply;
    }

    /** Reads the settings on a signal: says so in any case. */
    synchronized void onSignal() {
        Optional<String> text = read();
        if (text.isPresent()) {
            take(text.get(), "signal");
        }
    }

    /** Reads the settings without a signal: silent where nothing changed. */
    synchronized void checkFile() {
        Optional<String> text = read();
        if (text.isPresent() && !text.get().equals(mText)) {
            take(text.get(), "file");
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

    private void take(String text, String cause) {
        mText = text;
        var read = RelaySettingsFile.read(mFile.toString(), text);
        if (read.isLeft()) {
            LOG.warn(
                    "{\"kind\":\"reload-failed\",\"cause\":\"{}\",\"reason\":\"{}\"}",
                    cause,
                    String.join("; ", read.getLeft().lines()).replace('"', '\''));
            return;
        }
        List<String> restart = mSettings.changesThatNeedRestart(read.get());
        RelayDaemonSettings adopted = mSettings.withReloadable(read.get());
        boolean changed = !adopted.equals(mSettings);
        mSettings = adopted;
        mApply.accept(adopted);
        LOG.info(
                "{\"kind\":\"reload\",\"cause\":\"{}\",\"in_force\":{},\"needs_restart\":\"{}\"}",
                cause,
                changed,
                String.join(",", restart));
    }
}
