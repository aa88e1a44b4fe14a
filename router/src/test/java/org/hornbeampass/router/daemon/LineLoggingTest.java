package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

/** Checks the lines of the log, and that a slow reader of the log never blocks the daemon. */
class LineLoggingTest {
    private static LogEvent event(String message, Throwable thrown) {
        return Log4jLogEvent.newBuilder()
                .setLoggerName("org.hornbeampass.Example")
                .setLevel(Level.WARN)
                .setMessage(new SimpleMessage(message))
                .setThrown(thrown)
                .setTimeMillis(1_000)
                .build();
    }

    @Test
    void decision_isLoggedUnchangedAsOneLine() {
        assertThat(LineLayout.ofDecisions().toSerializable(event("{\"kind\":\"x\"}", null)))
                .isEqualTo("{\"kind\":\"x\"}\n");
    }

    @Test
    void otherEvent_isOneLineOfJson_evenWithQuotesAndLineBreaks() throws Exception {
        String line =
                LineLayout.ofEvents()
                        .toSerializable(event("a \"b\"\nc", new IllegalStateException("d\ne")));
        assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
        JsonNode json = new ObjectMapper().readTree(line);
        assertThat(json.path("at_ms").asLong()).isEqualTo(1_000);
        assertThat(json.path("kind").asText()).isEqualTo("log");
        assertThat(json.path("level").asText()).isEqualTo("WARN");
        assertThat(json.path("logger").asText()).isEqualTo("Example");
        assertThat(json.path("message").asText()).isEqualTo("a \"b\"\nc");
        assertThat(json.path("cause").asText()).contains("IllegalStateException: d\ne", "at ");
    }

    @Test
    void decisions_areLoggedOnlyOnce_andAppendersDoNotBlock() {
        LineLogging logging = new LineLogging();
        logging.initialize();
        LoggerConfig decisions = logging.getLoggerConfig("decisions");
        assertThat(decisions.isAdditive()).isFalse();
        assertThat(decisions.getAppenders()).containsOnlyKeys("decisions-async");
        assertThat(logging.getRootLogger().getAppenders()).containsOnlyKeys("events-async");
        assertThat(logging.getLoggerConfig("io.netty").getLevel()).isEqualTo(Level.WARN);
        assertThat(logging.getAppenders().values())
                .filteredOn(a -> a instanceof AsyncAppender)
                .hasSize(2)
                .allMatch(a -> !((AsyncAppender) a).isBlocking());
    }
}
