package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link LedgersReconcile} on an audit with findings. */
class LedgersReconcileTest {
    private final LedgersReconcile mRule = new LedgersReconcile();

    @Test
    void aCleanAudit_isFine() {
        assertThat(new Seen().findings(mRule)).isEmpty();
    }

    @Test
    void anAuditsFinding_isFound() {
        assertThat(new Seen().auditSays("drawn beyond paid").findings(mRule))
                .containsExactly("audit: drawn beyond paid");
    }
}
