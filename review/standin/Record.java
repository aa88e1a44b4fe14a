package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        mOut.println(String.format(Locale.ROOT, "%8.3f %s", World.nowMs() / 1000.0, text));
    }

    /** Writes a line here and on the standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
