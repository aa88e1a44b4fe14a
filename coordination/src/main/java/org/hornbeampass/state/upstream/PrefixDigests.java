package org.hornbeampass.state.upstream;

import java.util.Arrays;

/**
 * The digests of a prompt's growing prefixes, one for each whole block.
 *
 * <p>Digest {@code i} covers blocks {@code 0..i}, so two prompts share a prefix of {@code n} blocks
 * exactly where their digests {@code 0..n-1} are equal. Immutable; safe for use by any thread.
 */
public final class PrefixDigests {
    /** The size of a block in bytes of prompt text. */
    public static final int BLOCK_BYTES = 256;

    private static final int MAX_BLOCKS = 256;
    private static final long SEED = 0x9E3779B97F4A7C15L;
    private static final long MULTIPLIER = 0xBF58476D1CE4E5B9L;
    private static final PrefixDigests NONE = new PrefixDigests(new long[0]);

    private final long[] mDigests;

    private PrefixDigests(long[] digests) {
        mDigests = digests;
    }

    /** Returns the digests of an unknown prompt, which match nothing. */
    public static PrefixDigests none() {
        return NONE;
    }

    /** Returns given digests, the shortest prefix first. */
    public static PrefixDigests of(long... digests) {
        return new PrefixDigests(digests.clone());
    }

    /**
     * Returns the digests of a prompt in blocks of {@value #BLOCK_BYTES} bytes, of at most {@value
     * #MAX_BLOCKS} blocks; a last part of a block is left out.
     *
     * @param salt sets prompts apart that don't share a cache, such as those of other adapters
     * @param prompt the prompt's bytes
     */
    public static PrefixDigests ofPrompt(long salt, byte[] prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES);
        long[] digests = new long[blocks];
        long digest = mix(SEED ^ salt);
        for (int block = 0; block < blocks; block++) {
            int end = (block + 1) * BLOCK_BYTES;
            for (int at = block * BLOCK_BYTES; at < end; at++) {
                digest = (digest ^ prompt[at]) * MULTIPLIER;
            }
            digest = mix(digest);
            digests[block] = digest;
        }
        return new PrefixDigests(digests);
    }

    /** Returns the number of blocks. */
    public int size() {
        return mDigests.length;
    }

    /** Returns the digest of blocks {@code 0..block}. */
    public long at(int block) {
        return mDigests[block];
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * MULTIPLIER;
        return mixed ^ (mixed >>> 31);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixDigests that && Arrays.equals(mDigests, that.mDigests);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mDigests);
    }

    @Override
    public String toString() {
        return "PrefixDigests[" + mDigests.length + " blocks]";
    }
}
