package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * A logging configuration that writes lines of JSON to standard output, and drops lines rather than
 * wait for a slow reader.
 *
 * <p>Built in code, since reading a configuration file and loading its plugins takes a sixth of the
 * start time, for which callers wait when all VMs were killed. Immutable once started; thread-safe.
 */
public final class LineLogging extends AbstractConfiguration {
    /**
     * The system property that enables this configuration when it has the value {@link
     * #LINES_FORMAT}.
     */
    private static final String FORMAT_PROPERTY = "hornbeampass.log.format";

    private static final String LINES_FORMAT = "lines";

    private static final String LEVEL_PROPERTY = "hornbeampass.log.level";
    private static final String DECISIONS = "decisions";
    private static final String EVENTS = "events";
    private static final String ASYNC = "-async";

    /**
     * Maximum number of lines in each queue, some 2 MB. When the reader stalls, lines are lost but
     * requests are not delayed.
     */
    private static final int MAX_QUEUED_LINES = 8_192;

    LineLogging() {
        super(null, ConfigurationSource.NULL_SOURCE);
        isShutdownHookEnabled = false; // The daemon exits by itself and logs until then.
    }

    /**
     * Installs this configuration if the system properties request it. Must be called before
     * anything is logged.
     */
    public static void installIfRequested() {
        if (LINES_FORMAT.equals(System.getProperty(FORMAT_PROPERTY))) {
            Configurator.initialize(new LineLogging());
        }
    }

    /** Creates the loggers and appenders; they are started with this configuration. */
    @Override
    public void initialize() {
        Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO);
        AsyncAppender events = appender(EVENTS, LineLayout.ofEvents());
        AsyncAppender decisions = appender(DECISIONS, LineLayout.ofDecisions());
        LoggerConfig root = getRootLogger();
        root.setLevel(level);
        root.addAppender(events, null, null);
        addLogger("io.netty", new LoggerConfig("io.netty", Level.WARN, true));
        LoggerConfig own = new LoggerConfig(DECISIONS, Level.INFO, false);
        own.addAppender(decisions, null, null);
        addLogger(DECISIONS, own);
        setState(State.INITIALIZED);
    }

    /**
     * Creates an asynchronous console appender. Doesn't use the builder of console appenders, whose
     * reflection delays the start.
     */
    private AsyncAppender appender(String name, LineLayout layout) {
        ConsoleAppender console = ConsoleAppender.createDefaultAppenderForLayout(layout);
        addAppender(console);
        AsyncAppender async =
                AsyncAppender.newBuilder()
                        .setName(name + ASYNC)
                        .setAppenderRefs(
                                new AppenderRef[] {
                                    AppenderRef.createAppenderRef(console.getName(), null, null)
                                })
                        .setBlocking(false)
                        .setBufferSize(MAX_QUEUED_LINES)
                        .setConfiguration(this)
                        .build();
        addAppender(async);
        return async;
    }
}
