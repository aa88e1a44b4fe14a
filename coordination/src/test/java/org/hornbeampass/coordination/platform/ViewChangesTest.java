package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks in which cases the changes of a view are reported. */
class ViewChangesTest {
    private final List<String> mReported = new ArrayList<>();

    private void report(long nowMs, Change change) {
        mReported.add(change.key());
        if (change.value().orElse("").equals("odd")) {
            throw new IllegalStateException(change.key());
        }
    }

    /** Guards against entries that are never applied, since one before them could not be. */
    @Test
    void changeOnWhichAListenerFails_keepsNoneFromBeingReported() {
        ViewChanges changes = new ViewChanges();
        changes.add(new Change("a", Optional.of("odd"), 1));
        changes.addConfirmed(new Change("b", Optional.of("odd"), 2));
        changes.add(new Change("c", Optional.of("sound"), 3));
        assertThatThrownBy(() -> changes.report(0, this::report, this::report)).hasMessage("a");
        assertThat(mReported).containsExactly("a", "b", "c");
    }
}
