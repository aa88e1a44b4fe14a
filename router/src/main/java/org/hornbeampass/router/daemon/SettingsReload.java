package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the settings again and says what changed; changes take effect at the next start.
 *
 * <p>Thread-safe: the last settings are guarded by its lock.
 */
final class SettingsReload implements Runnable {
    private static final Logger LOG = LogManager.getLogger("decisions");

    private final Path mFile;
    private RelayDaemonSettings mSettings;

    SettingsReload(Path file, RelayDaemonSettings settings) {
        mFile = file;
        mSettings = settings;
    }

    @Override
    public synchronized void run() {
        String text;
        try {
            text = Files.readString(mFile);
        } catch (IOException e) {
            LOG.warn("{\"kind\":\"reload-failed\",\"reason\":\"the settings can't be read\"}");
            return;
        }
        var read = RelaySettingsFile.read(mFile.toString(), text);
        if (read.isLeft()) {
            LOG.warn("{\"kind\":\"reload-failed\",\"reason\":\"the settings have faults\"}");
            return;
        }
        boolean changed = !read.get().equals(mSettings);
        mSettings = read.get();
        LOG.info("{\"kind\":\"reload\",\"changed\":{},\"needs_restart\":{}}", changed, changed);
    }
}
