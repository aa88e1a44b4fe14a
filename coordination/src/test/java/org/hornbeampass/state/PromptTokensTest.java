package org.hornbeampass.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the token count and the block hashes of prompts. */
class PromptTokensTest {
    @Test
    void of_roundsUp() {
        assertThat(PromptTokens.count(0)).isEqualTo(1);
        assertThat(PromptTokens.count(4)).isEqualTo(1);
        assertThat(PromptTokens.count(5)).isEqualTo(2);
        assertThat(PromptTokens.count(Long.MAX_VALUE - 10)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void blockHashes_agreeOnSharedPrefixOnly() {
        long[] first = PromptTokens.blockHashes("a".repeat(64) + "b".repeat(100));
        long[] second = PromptTokens.blockHashes("a".repeat(64) + "c".repeat(64));

        assertThat(first).hasSize(2);
        assertThat(second).hasSize(2);
        assertThat(first[0]).isEqualTo(second[0]);
        assertThat(first[1]).isNotEqualTo(second[1]);
    }
}
