package org.hornbeampass.protocol.openai;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the router reads of one chunk of a streamed chat completion.
 *
 * <p>Immutable once made: the bytes are not changed. Safe for use by any thread.
 *
 * @param json the chunk's JSON as the upstream sent it, in UTF-8
 * @param idStart where the value of the {@code id} field begins in {@code json}, or -1
 * @param idEnd where it ends
 * @param contentBytes the UTF-8 bytes of the generated text in it, at most
 * @param hasDelta whether it carries a generated part
 * @param hasChoices whether its list of choices holds anything
 * @param finishReason why generation ended, where it did
 * @param offset the number of tokens generated before this chunk, where the upstream says so
 * @param usage the usage up to here, where the upstream says so
 */
@SuppressWarnings("ArrayRecordComponent")
public record ChatChunk(
        byte[] json,
        int idStart,
        int idEnd,
        long contentBytes,
        boolean hasDelta,
        boolean hasChoices,
        Optional<String> finishReason,
        OptionalLong offset,
        Optional<Usage> usage) {}
