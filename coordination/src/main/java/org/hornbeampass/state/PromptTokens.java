package org.hornbeampass.state;

/**
 * Bounds the number of tokens of a prompt and cuts it into the blocks that engines cache.
 *
 * <p>A prompt is the contents of all its messages, joined in order with nothing between. It counts
 * one token per {@value #CHARACTERS_PER_TOKEN} characters (UTF-16 units), rounded up, and at least
 * one. The model engine stand-in counts by the same rule; a real tokenizer may count more for some
 * texts, so that an engine's reported usage can exceed the bound. Stateless and thread-safe.
 */
public final class PromptTokens {
    /** How many characters make a token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    /** How many tokens make a block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 16;

    private static final int CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK;
    private static final long HASH_SEED = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private PromptTokens() {}

    /**
     * Returns the number of tokens of a prompt.
     *
     * @param characters the number of characters of all message contents together
     */
    public static int count(long characters) {
        long tokens = (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, tokens));
    }

    /**
     * Returns one hash for each whole block of a prompt, each covering the prompt from its start to
     * the block's end, so that equal hashes mean an equal prefix (but for collisions).
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
