package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.hornbeampass.router.relay.LogFields;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Formats each log event as one line with a JSON object.
 *
 * <p>Immutable; safe for use by any thread.
 */
final class LineLayout extends AbstractStringLayout {
    private final Function<LogEvent, String> mFormatter;

    private LineLayout(Function<LogEvent, String> object) {
        super(StandardCharsets.UTF_8);
        mFormatter = object;
    }

    /** Returns the layout for decisions, whose messages are JSON objects already. */
    static LineLayout ofDecisions() {
        return new LineLayout(e -> e.getMessage().getFormattedMessage());
    }

    /** Returns the layout for all other events. */
    static LineLayout ofEvents() {
        return new LineLayout(LineLayout::formatEvent);
    }

    private static String formatEvent(LogEvent event) {
        String logger = event.getLoggerName();
        LogFields fields =
                new LogFields()
                        .add("at_ms", event.getTimeMillis())
                        .add("kind", "log")
                        .add("level", event.getLevel().name())
                        .add("logger", logger.substring(logger.lastIndexOf('.') + 1))
                        .add("message", event.getMessage().getFormattedMessage())
                        .add("cause", stackTrace(event.getThrown()));
        return "{" + fields + "}";
    }

    private static String stackTrace(Throwable thrown) {
        if (thrown == null) {
            return "";
        }
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }

    @Override
    public String toSerializable(LogEvent event) {
        return mFormatter.apply(event) + "\n";
    }
}
