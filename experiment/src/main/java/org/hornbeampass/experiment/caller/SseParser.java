package org.hornbeampass.experiment.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events into the data of each event.
 *
 * <p>Invariant: an event is given on only when its line has ended, however the bytes were cut. Not
 * thread-safe.
 */
final class SseParser {
    private static final String DATA = "data: ";

    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final Consumer<String> mOnData;

    SseParser(Consumer<String> onData) {
        mOnData = onData;
    }

    /** Takes the next bytes of the stream. */
    void accept(byte[] chunk) {
        for (byte each : chunk) {
            if (each == '\n') {
                endLine();
            } else if (each != '\r') {
                mLine.write(each);
            }
        }
    }

    private void endLine() {
        String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (line.startsWith(DATA)) {
            mOnData.accept(line.substring(DATA.length()));
        }
    }
}
