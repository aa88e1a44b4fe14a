package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifies a stream by the attempt of a caller that began it.
 *
 * <p>The organisation is part of the identity, so that no organisation learns of another's streams
 * by guessing ids. Immutable; safe for use by any thread.
 *
 * @param organisation the name of the organisation that pays; empty where none does
 * @param attempt the caller's id of the attempt
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamKey(String organisation, String attempt) {
    private static final int MAX_ATTEMPT_LENGTH = 256;

    /** Returns whether there is an id that is short enough to be stored. */
    public boolean isStorable() {
        return !attempt.isEmpty() && attempt.length() <= MAX_ATTEMPT_LENGTH;
    }

    /** Returns the text from which the VMs are chosen that store the stream's origin. */
    String hashText() {
        return "stream-" + organisation + '/' + attempt;
    }
}
