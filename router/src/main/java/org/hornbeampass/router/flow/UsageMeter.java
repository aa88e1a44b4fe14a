package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.Usage;

import java.util.Optional;

/**
 * Counts the tokens of one answer and computes the amount to bill for them.
 *
 * <p>The upstream's reported usage is limited to plausible values: at least one token for each
 * generated part, at most one for each byte of generated text (with an allowance for tokens without
 * text), and never more than was reserved. If the upstream reports no usage, one token is counted
 * for each generated part and none for the prompt. Not thread-safe; confined to its request's flow.
 */
final class UsageMeter {
    /**
     * The number of tokens without text, such as an end marker, that reported usage may include.
     */
    private static final long MAX_TEXTLESS_TOKENS = 8;

    private final long mMaxPromptTokens;
    private final long mCompletionLimit;
    private long mParts;
    private long mBytes;
    private Optional<Usage> mReported = Optional.empty();

    UsageMeter(long maxPromptTokens, long completionLimit) {
        mMaxPromptTokens = maxPromptTokens;
        mCompletionLimit = completionLimit;
    }

    /** Counts a chunk, or an answer that is not streamed. */
    void count(ChatChunk chunk) {
        if (chunk.hasDelta()) {
            mParts++;
        }
        mBytes += chunk.contentBytes();
        if (chunk.usage().isPresent()) {
            mReported = chunk.usage();
        }
    }

    /** Returns the number of tokens generated so far. */
    long completionTokens() {
        long atLeast = mParts;
        long atMost = mBytes + MAX_TEXTLESS_TOKENS;
        long reported = mReported.map(Usage::completionTokens).orElse(0L);
        return Math.max(atLeast, Math.min(reported, atMost));
    }

    /** Returns whether more tokens were generated than the limit allows. */
    boolean isOverLimit() {
        return completionTokens() > mCompletionLimit;
    }

    /** Returns whether the limit is reached, so that any further part would exceed it. */
    boolean isAtLimit() {
        return completionTokens() >= mCompletionLimit;
    }

    /** Returns the amount to bill, which never exceeds the reserved number of tokens. */
    BillAmount bill() {
        long prompt = mReported.map(Usage::promptTokens).orElse(0L);
        return new BillAmount(
                Math.min(prompt, mMaxPromptTokens), Math.min(completionTokens(), mCompletionLimit));
    }
}
