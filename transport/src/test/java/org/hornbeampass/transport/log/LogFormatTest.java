package org.hornbeampass.transport.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.apache.logging.log4j.util.SortedArrayStringMap;
import org.junit.jupiter.api.Test;

/**
 * Tests that a log event is one line of JSON with the request, the organisation and the message.
 */
class LogFormatTest {
    private static final JsonTemplateLayout LAYOUT =
            JsonTemplateLayout.newBuilder()
                    .setConfiguration(new DefaultConfiguration())
                    .setEventTemplateUri("classpath:hornbeampass-log-event.json")
                    .build();

    @Test
    void contextAndMessage_areFields() throws Exception {
        JsonNode line = render(new SimpleMessage("line one\nline two"));

        assertThat(line.get("request_id").asText()).isEqualTo("r-1");
        assertThat(line.get("organisation").asText()).isEqualTo("desk");
        assertThat(line.get("message").asText()).isEqualTo("line one\nline two");
        assertThat(line.get("level").asText()).isEqualTo("WARN");
    }

    @Test
    void mapMessage_keepsItsFields() throws Exception {
        JsonNode line = render(new StringMapMessage().with("tokens", "12"));

        assertThat(line.get("fields").get("tokens").asText()).isEqualTo("12");
    }

    private static JsonNode render(Message message) throws Exception {
        SortedArrayStringMap context = new SortedArrayStringMap();
        context.putValue("request_id", "r-1");
        context.putValue("organisation", "desk");
        String text =
                LAYOUT.toSerializable(
                        Log4jLogEvent.newBuilder()
                                .setLoggerName("test")
                                .setLevel(Level.WARN)
                                .setMessage(message)
                                .setContextData(context)
                                .build());
        assertThat(text.strip()).doesNotContain("\n");
        return new ObjectMapper().readTree(text);
    }
}
