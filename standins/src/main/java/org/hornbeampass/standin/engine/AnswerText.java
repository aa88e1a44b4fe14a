package org.hornbeampass.standin.engine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The deterministic text of an answer, so that a receiver can check that it got its own, whole.
 *
 * <p>Token {@code n} of an answer with tag {@code t} reads {@code "rt:n "}. The tag is the request
 * id, or {@code X} where the prompt contains {@code [[id=X]]}; the length follows from the prompt
 * and is {@code N} where it contains {@code [[tokens=N]]}. So every engine gives the same answer to
 * the same request, from any offset. Stateless and thread-safe.
 */
public final class AnswerText {
    private static final Pattern TAG_MARK = Pattern.compile("\\[\\[id=([^\\]\\s:]{1,200})\\]\\]");
    private static final Pattern LENGTH_MARK = Pattern.compile("\\[\\[tokens=(\\d{1,7})\\]\\]");

    private AnswerText() {}

    /** Returns the text of one token. */
    public static String token(String tag, int offset) {
        return "r" + tag + ":" + offset + " ";
    }

    /** Returns the text of the tokens from one offset to before another. */
    public static String text(String tag, int from, int end) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < end; i++) {
            text.append(token(tag, i));
        }
        return text.toString();
    }

    /** Returns the tag of the answer to a prompt. */
    public static String tag(String requestId, CharSequence prompt) {
        Matcher mark = TAG_MARK.matcher(prompt);
        return mark.find() ? mark.group(1) : requestId;
    }

    /**
     * Returns the length in tokens that the answer to a prompt has without a limit: as marked, or
     * between half and one and a half times the mean, by the prompt's hash.
     *
     * @param prompt the joined message contents
     * @param meanTokens the mean, at least 1
     */
    public static int naturalLength(CharSequence prompt, int meanTokens) {
        Matcher mark = LENGTH_MARK.matcher(prompt);
        if (mark.find()) {
            return Math.max(1, Integer.parseInt(mark.group(1)));
        }
        int spread = Math.floorMod(prompt.toString().hashCode(), meanTokens + 1);
        return Math.max(1, meanTokens / 2 + spread);
    }

    /**
     * Checks a received answer.
     *
     * @param tag the tag expected
     * @param tokens the number of tokens expected, such as {@code completion_tokens} of the usage
     * @param received the text received
     * @return what is wrong; empty where the text is the whole answer
     */
    public static Optional<String> problem(String tag, int tokens, String received) {
        String expected = text(tag, 0, tokens);
        if (expected.equals(received)) {
            return Optional.empty();
        }
        int same = 0;
        int shorter = Math.min(expected.length(), received.length());
        while (same < shorter && expected.charAt(same) == received.charAt(same)) {
            same++;
        }
        return Optional.of(
                "answer of "
                        + received.length()
                        + " characters differs from the expected "
                        + expected.length()
                        + " at character "
                        + same);
    }
}
