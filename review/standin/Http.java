package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** A head: its first line, and its headers with names in lower case. */
    static final class Head {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Returns the next line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next head; null at the end of the input. */
    static Head head(InputStream in) throws IOException {
        Head head = new Head();
        head.line = line(in);
        if (head.line == null || head.line.isEmpty()) {
            return null;
        }
        for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
            int colon = each.indexOf(':');
            head.headers.put(
                    each.substring(0, colon).toLowerCase(Locale.ROOT),
                    each.substring(colon + 1).strip());
        }
        return head;
    }

    /** Reads a body that has a length or chunks; otherwise there is none. */
    static byte[] body(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("cut between chunks");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (length == 0) {
                    for (String each = line(in); each != null && !each.isEmpty(); ) {
                        each = line(in);
                    }
                    return out.toByteArray();
                }
                copy(in, out, length);
                line(in);
            }
        }
        String length = head.header("content-length");
        if (!length.isEmpty()) {
            copy(in, out, Integer.parseInt(length));
        }
        return out.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length)
            throws IOException {
        byte[] buffer = in.readNBytes(length);
        out.writeBytes(buffer);
        if (buffer.length < length) {
            throw new EOFException("cut after " + out.size() + " bytes of the body");
        }
    }
}
