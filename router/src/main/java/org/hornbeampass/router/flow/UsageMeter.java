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
        long atMost = mBytes + MAX_TEXTLESS_TOKENS;
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
    BillAmount bill() {
        long prompt = mReported.map(Usage::promptTokens).orElse(0L);
        return new BillAmount(
                Math.min(prompt, mMaxPromptTokens), Math.min(completionTokens(), mCompletionLimit));
    }
}
