package org.hornbeampass.coordination.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies a request by its content, so that repetitions are recognised as the same request, or a
 * part that prompts share.
 *
 * <p>Immutable; safe for use by any thread. Computed by {@link RequestHasher}.
 *
 * @param kind what it identifies
 * @param scope a keyed hash of host, path, caller and the length of the body; 0 for a prompt part
 * @param content a keyed hash of the body or of the part's identifier
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SuspectDigest(SuspectKind kind, long scope, long content) {
    private static final HexFormat HEX = HexFormat.of();
    private static final int HALF_DIGITS = 2 * Long.BYTES;
    private static final String PART_PREFIX = "part-";

    /** Creates the digest of a request. */
    public static SuspectDigest ofRequest(long scope, long content) {
        return new SuspectDigest(SuspectKind.REQUEST, scope, content);
    }

    /** Creates the digest of a prompt part. */
    static SuspectDigest ofPart(long content) {
        return new SuspectDigest(SuspectKind.PROMPT_PART, 0, content);
    }

    /** Returns whether this identifies a part that prompts share. */
    @JsonIgnore
    public boolean isPart() {
        return kind == SuspectKind.PROMPT_PART;
    }

    /** Parses the result of {@link #toString}; empty for any other text. */
    public static Optional<SuspectDigest> parse(String text) {
        boolean part = text.startsWith(PART_PREFIX);
        String digits = part ? text.substring(PART_PREFIX.length()) : text;
        boolean wellFormed =
                digits.length() == (part ? 1 : 2) * HALF_DIGITS
                        && digits.chars().allMatch(HexFormat::isHexDigit);
        if (!wellFormed) {
            return Optional.empty();
        }
        long last =
                HexFormat.fromHexDigitsToLong(
                        digits, digits.length() - HALF_DIGITS, digits.length());
        return Optional.of(
                part
                        ? ofPart(last)
                        : ofRequest(HexFormat.fromHexDigitsToLong(digits, 0, HALF_DIGITS), last));
    }

    /**
     * Returns 32 hexadecimal digits for a request, a prefix and 16 digits for a prompt part, as
     * used in logs and in keys of the store.
     */
    @Override
    public String toString() {
        return isPart()
                ? PART_PREFIX + HEX.toHexDigits(content)
                : HEX.toHexDigits(scope) + HEX.toHexDigits(content);
    }
}
