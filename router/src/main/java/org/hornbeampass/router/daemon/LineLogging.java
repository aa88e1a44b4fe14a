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
 * Logs lines of JSON on standard output, and drops lines rather than wait for whoever reads them.
 *
 * <p>Built in code, since reading it from a file, with its plugins, takes a sixth of a start;
 * callers wait for starts after all VMs were killed. Immutable once started; thread-safe.
 */
public final class LineLogging extends AbstractConfiguration {
    /** The property of the Java runtime that asks for it, and its value. */
    private static final String PROPERTY = "hornbeampass.log.format";

    private static final String LINES = "lines";

    private static final String LEVEL_PROPERTY = "hornbeampass.log.level";
    private static final String DECISIONS = "decisions";
    private static final String EVENTS = "events";
    private static final String ASYNC = "-async";

    /** Lines that may wait: some 2 MB. A reader that stops for long costs lines, never requests. */
    private static final int WAITING_LINES = 8_192;

    LineLogging() {
        super(null, ConfigurationSource.NULL_SOURCE);
        isShutdownHookEnabled = false; // The daemon ends by itself, and logs until then.
    }

    /**
     * Puts this configuration in force, where the runtime's properties ask for it; to be called
     * before anything is logged.
     */
    public static void installIfRequested() {
        if (LINES.equals(System.getProperty(PROPERTY))) {
            Configurator.initialize(new LineLogging());
        }
    }

    /** Makes the loggers and appenders, which the start of this configuration starts. */
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

    /** The builder of console appenders looks at its fields by reflection, which delays a start. */
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
                        .setBufferSize(WAITING_LINES)
                        .setConfiguration(this)
                        .build();
        addAppender(async);
        return async;
    }
}
