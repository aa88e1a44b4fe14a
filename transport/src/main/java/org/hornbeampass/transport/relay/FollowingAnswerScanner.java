package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds where an answer without framing ends before its connection does, since an upstream writes
 * one answer after another: at the head of another answer to a request that was sent on the
 * connection. The text of such a head without such an id is part of the body.
 *
 * <p>Invariants: the bytes of the answer are returned in order, each once. Only bytes that may
 * belong to a head are held, at most as many as a head may have, and never beyond an empty line,
 * which ends an event of a stream too. Not thread-safe.
 */
final class FollowingAnswerScanner {
    private static final String START = "HTTP/1.";

    /** The length of a version, a space and a status. */
    private static final int STATUS_END = START.length() + 5;

    private static final int STATUS_START = START.length() + 2;
    private static final int NOT_FOUND = -1;

    private final int mMaxHeadBytes;
    private final Predicate<HttpResponse> mIsAnswer;
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;

    /** The offset in {@link #mHeld} of the first line that may be incomplete. */
    private int mHeldLine;

    private Optional<HttpResponse> mFound = Optional.empty();

    /** How a text that starts like a head goes on. */
    private enum Verdict {
        ANSWER,
        INCOMPLETE,
        BODY
    }

    /**
     * Creates a scanner for the body of one answer.
     *
     * @param maxHeadBytes the most bytes that the head of an answer may have
     * @param isAnswer tells whether a head is that of an answer to a request that was sent on the
     *     connection
     */
    FollowingAnswerScanner(int maxHeadBytes, Predicate<HttpResponse> isAnswer) {
        mMaxHeadBytes = maxHeadBytes;
        mIsAnswer = isAnswer;
    }

    /**
     * Returns the head that follows the answer, which is complete then; empty if none was found.
     */
    Optional<HttpResponse> found() {
        return mFound;
    }

    /** Takes the next bytes, which it releases, and returns those that are part of the answer. */
    ByteBuf append(ByteBuf part) {
        ByteBuf all = mHeld.isReadable() ? Unpooled.copiedBuffer(mHeld, part) : part.retain();
        part.release();
        release();
        int line = mHeldLine;
        mHeldLine = 0;
        int at = indexOfStart(all, all.readerIndex());
        while (at != NOT_FOUND) {
            Candidate candidate = new Candidate(all, at, at + line);
            line = 0;
            Verdict verdict = candidate.examine();
            boolean holdable = all.writerIndex() - at <= mMaxHeadBytes;
            if (verdict == Verdict.ANSWER || (verdict == Verdict.INCOMPLETE && holdable)) {
                return split(all, at, candidate);
            }
            // A head that starts inside a line that was examined would have the same end.
            at = indexOfStart(all, Math.max(at + 1, candidate.mLine));
        }
        return all;
    }

    /** Returns what comes before a head, and holds the rest where it may still be part of one. */
    private ByteBuf split(ByteBuf all, int at, Candidate candidate) {
        mFound = candidate.mAnswer;
        if (mFound.isEmpty()) {
            mHeld = Unpooled.copiedBuffer(all.slice(at, all.writerIndex() - at));
            mHeldLine = candidate.mLine - at;
        }
        return all.writerIndex(at);
    }

    /**
     * Returns what was held and is part of the answer, once the input has ended. A head that the
     * end cuts after its id is found, too.
     */
    ByteBuf end() {
        int start = mHeld.readerIndex();
        Candidate held = new Candidate(mHeld, start, start + mHeldLine);
        mFound = mFound.or(held::cutAnswer);
        if (mFound.isPresent()) {
            release();
        }
        ByteBuf rest = mHeld;
        mHeld = Unpooled.EMPTY_BUFFER;
        return rest;
    }

    void release() {
        mHeld.release();
        mHeld = Unpooled.EMPTY_BUFFER;
    }

    /** Returns where a head may start, also if only its first characters have been read. */
    private static int indexOfStart(ByteBuf all, int from) {
        int at = all.indexOf(from, all.writerIndex(), (byte) START.charAt(0));
        while (at >= 0 && !startsAt(all, at)) {
            at = all.indexOf(at + 1, all.writerIndex(), (byte) START.charAt(0));
        }
        return at < 0 ? NOT_FOUND : at;
    }

    private static boolean startsAt(ByteBuf all, int at) {
        int length = Math.min(START.length(), all.writerIndex() - at);
        for (int i = 1; i < length; i++) {
            if (all.getByte(at + i) != START.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** A text that starts like the head of an answer. */
    private final class Candidate {
        private final ByteBuf mAll;
        private final int mStart;

        /** The index of the first line that was not found complete and valid. */
        private int mLine;

        private Optional<HttpResponse> mAnswer = Optional.empty();

        Candidate(ByteBuf all, int start, int line) {
            mAll = all;
            mStart = start;
            mLine = line;
        }

        Verdict examine() {
            if (mLine == mStart && !mayBeStatusLine()) {
                return Verdict.BODY;
            }
            int end = lineEnd(mLine);
            while (end >= 0) {
                String line = text(mLine, end);
                if (line.isEmpty()) {
                    mLine = end + 1;
                    mAnswer = Optional.of(head(end)).filter(mIsAnswer);
                    return mAnswer.isPresent() ? Verdict.ANSWER : Verdict.BODY;
                }
                if (mLine > mStart && line.indexOf(':') <= 0) {
                    return Verdict.BODY;
                }
                mLine = end + 1;
                end = lineEnd(mLine);
            }
            return Verdict.INCOMPLETE;
        }

        /** Returns the head as far as its lines are complete, if it is that of an answer. */
        Optional<HttpResponse> cutAnswer() {
            return mLine == mStart
                    ? Optional.empty()
                    : Optional.of(head(mLine - 1)).filter(mIsAnswer);
        }

        private int lineEnd(int from) {
            return mAll.indexOf(from, mAll.writerIndex(), (byte) '\n');
        }

        /** Returns whether the first characters, as far as read, are a version and a status. */
        private boolean mayBeStatusLine() {
            int length = Math.min(STATUS_END, mAll.writerIndex() - mStart);
            for (int i = START.length(); i < length; i++) {
                char c = (char) mAll.getByte(mStart + i);
                boolean space = i == STATUS_START - 1;
                if (space ? c != ' ' : c < '0' || c > '9') {
                    return false;
                }
            }
            return true;
        }

        private String text(int start, int end) {
            String line = mAll.toString(start, end - start, StandardCharsets.ISO_8859_1);
            return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        }

        private HttpResponse head(int end) {
            String[] lines = text(mStart, end).split("\n", -1);
            int status = Integer.parseInt(lines[0].substring(STATUS_START, STATUS_END));
            HttpResponse head =
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            DefaultHttpHeadersFactory.headersFactory().withValidation(false));
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon > 0) {
                    String name = lines[i].substring(0, colon);
                    head.headers().add(name, lines[i].substring(colon + 1).strip());
                }
            }
            return head;
        }
    }
}
