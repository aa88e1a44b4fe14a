package org.hornbeampass.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.AsciiString;

import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Decodes the answers of an upstream. Whether one has a body depends on the request that it
 * answers, which is not always the next one that was sent, since upstreams may answer twice.
 *
 * <p>Invariants: a head that is decoded without failure is of HTTP/1, has a status from 100 to 599
 * in three digits, and each of its fields, and of a trailer, has a name that ends at its colon; any
 * other head is a failure. Confined to the channel's event loop.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final String VERSION_START = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d\\d\\d");

    private final Function<HttpResponse, HttpMethod> mMethodOf;

    /**
     * Creates a decoder.
     *
     * @param bounds bound the parts of an answer
     * @param methodOf returns the method of the request that an answer belongs to
     */
    public AnswerDecoder(HttpDecoderConfig bounds, Function<HttpResponse, HttpMethod> methodOf) {
        super(bounds);
        mMethodOf = methodOf;
    }

    /** Rejects a status line which the codec would read as another one. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!isHttp1(statusLine[0])) {
            throw new IllegalArgumentException("the answer's version is not that of HTTP/1");
        }
        if (!isStatus(statusLine[1])) {
            throw new IllegalArgumentException("the answer's status is not one from 100 to 599");
        }
        return super.createMessage(statusLine);
    }

    private static boolean isHttp1(String version) {
        return version.length() == VERSION_START.length() + 1
                && version.startsWith(VERSION_START)
                && isDigit(version.charAt(VERSION_START.length()));
    }

    private static boolean isStatus(String status) {
        return status.length() == STATUS_DIGITS
                && status.charAt(0) >= '1'
                && status.charAt(0) <= '5'
                && isDigit(status.charAt(1))
                && isDigit(status.charAt(2));
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    /** Rejects a name with a blank in or after it, which the codec would cut there. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("a field's name does not end at its colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponse head = (HttpResponse) message;
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || mMethodOf.apply(head).equals(HttpMethod.HEAD)
                || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether bytes were read that no message contains which was passed on. */
    public boolean holdsInput() {
        return actualReadableBytes() > 0;
    }

    /**
     * Returns whether a status line stands inside a head. An upstream that breaks off one head and
     * then writes another makes one of the two, with the status of the first.
     */
    public static boolean joinsTwoHeads(HttpResponse head) {
        if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    /** Requests ask for no other protocol, so an answer can't change it. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse head) {
        return false;
    }
}
