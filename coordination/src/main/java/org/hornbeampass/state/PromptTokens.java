package org.hornbeampass.state;

/**
 * Estimates the number of tokens of a prompt and hashes the blocks that engines cache.
 *
 * <p>A prompt is the contents of all messages, joined in order without a separator. It counts one
 * token per {@value #CHARACTERS_PER_TOKEN} characters (UTF-16 units), rounded up, and at least one.
 * The model engine stand-in uses the same rule. A real tokenizer may count more for some texts, so
 * the usage that an engine reports can exceed this estimate. Stateless and thread-safe.
 */
public final class PromptTokens {
    /** The number of characters per token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    /** The number of tokens per block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 16;

    private static final int CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK;
    private static final long HASH_SEED = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private PromptTokens() {}

    /**
     * Returns the number of tokens of a prompt.
     *
     * @param characters the total number of characters of all message contents
     */
    public static int count(long characters) {
        long tokens = (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, tokens));
    }

    /**
     * Returns one hash for each complete block of a prompt. Each hash covers the prompt from its
     * start to the end of the block, so equal hashes mean equal prefixes, except for collisions.
     *
     * @param prompt the joined message contents
     */
    public static long[] blockHashes(CharSequence prompt) {
        long[] hashes = new long[prompt.length() / CHARACTERS_PER_BLOCK];
        long hash = HASH_SEED;
        for (int i = 0; i < hashes.length * CHARACTERS_PER_BLOCK; i++) {
            hash = (hash ^ prompt.charAt(i)) * HASH_PRIME;
            if ((i + 1) % CHARACTERS_PER_BLOCK == 0) {
                hashes[i / CHARACTERS_PER_BLOCK] = hash;
            }
        }
        return hashes;
    }
}
