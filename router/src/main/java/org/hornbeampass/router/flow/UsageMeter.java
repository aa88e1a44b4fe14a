package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.Usage;

import java.util.Optional;

/**
 * Counts the tokens of one attempt and decides what may be billed for them.
 *
 * <p>The upstream's figures are taken where they fit what was seen: at least one token for each
 * part generated, at most one for each byte of it and never more than was reserved. Where the
 * upstream gives no figures, one token is counted for each part generated and none for the prompt.
 * Not thread-safe; confined to its request's flow.
 */
final class UsageMeter {
    /** Tokens that generate no text, such as an end mark, that a usage may count. */
    private static final long SILENT_TOKENS = 8;

    private final long mPromptBound;
    private final long mCompletionLimit;
    private long mParts;
    private long mBytes;
    private Optional<Usage> mReported = Optional.empty();

    UsageMeter(long promptBound, long completionLimit) {
        mPromptBound = promptBound;
        mCompletionLimit = completionLimit;
    }

    /** Counts a chunk, or a whole answer. */
    void count(ChatChunk chunk) {
        if (chunk.hasDelta()) {
            mParts++;
        }
        mBytes += chunk.contentBytes();
        if (chunk.usage().isPresent()) {
            mReported = chunk.usage();
        }
    }

    /** Returns the number of tokens generated up to here. */
    long completionTokens() {
        long atLeast = mParts;
        long atMost = mBytes + SILENT_TOKENS;
        long reported = mReported.map(Usage::completionTokens).orElse(0L);
        return Math.max(atLeast, Math.min(reported, atMost));
    }

    /** Returns whether more was generated than the upstream was allowed. */
    boolean isOverLimit() {
        return completionTokens() > mCompletionLimit;
    }

    /** Returns whether the limit is reached, so that any further part would be over it. */
    boolean isAtLimit() {
        return completionTokens() >= mCompletionLimit;
    }

    /** Returns what to bill: never more than the worst case that was reserved. */
    Bill bill() {
        long prompt = mReported.map(Usage::promptTokens).orElse(0L);
        return new Bill(
                Math.min(prompt, mPromptBound), Math.min(completionTokens(), mCompletionLimit));
    }
}
