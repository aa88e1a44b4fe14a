package org.hornbeampass.state.upstream;

import java.util.Arrays;

/**
 * The digests of the prefixes of a prompt, one for each complete block.
 *
 * <p>Digest {@code i} covers blocks {@code 0..i}, so two prompts share a prefix of {@code n} blocks
 * if and only if their digests {@code 0..n-1} are equal, except for hash collisions. Immutable;
 * safe for use by any thread.
 */
public final class PrefixDigests {
    private static final PrefixDigests NONE = new PrefixDigests(new long[0]);

    private final long[] mDigests;

    private PrefixDigests(long[] digests) {
        mDigests = digests;
    }

    /** Returns the digests of an unknown prompt, which match no other prompt. */
    public static PrefixDigests none() {
        return NONE;
    }

    /**
     * Returns the given digests, shortest prefix first, such as {@code PromptTokens.blockHashes}.
     */
    public static PrefixDigests of(long... digests) {
        return new PrefixDigests(digests.clone());
    }

    /** Returns the number of blocks. */
    public int size() {
        return mDigests.length;
    }

    /** Returns the digest of blocks {@code 0..block}. */
    public long at(int block) {
        return mDigests[block];
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
