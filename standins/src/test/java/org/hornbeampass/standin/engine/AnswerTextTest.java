package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link AnswerText}. */
class AnswerTextTest {
    @Test
    void problem_ofWholeAnswer_isEmpty() {
        assertThat(AnswerText.problem("q1", 3, "rq1:0 rq1:1 rq1:2 ")).isEmpty();
    }

    @Test
    void problem_ofCutDoubledOrForeignAnswer_isFound() {
        assertThat(AnswerText.problem("q1", 3, "rq1:0 rq1:1 ")).isPresent();
        assertThat(AnswerText.problem("q1", 3, "rq1:0 rq1:1 rq1:1 ")).isPresent();
        assertThat(AnswerText.problem("q1", 3, "rq1:0 rq2:1 rq1:2 ")).isPresent();
    }

    @Test
    void tagAndLength_followMarksInThePrompt() {
        assertThat(AnswerText.tag("request", "hello [[id=mine]]")).isEqualTo("mine");
        assertThat(AnswerText.tag("request", "hello")).isEqualTo("request");
        assertThat(AnswerText.naturalLength("hello [[tokens=17]]", 100)).isEqualTo(17);
        assertThat(AnswerText.naturalLength("hello", 100)).isBetween(50, 150);
    }
}
