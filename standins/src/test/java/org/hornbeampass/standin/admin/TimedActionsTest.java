package org.hornbeampass.standin.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests {@link TimedActions}. */
class TimedActionsTest {
    private final TimedActions mActions = new TimedActions();
    private final List<String> mRun = new ArrayList<>();

    @Test
    void runDue_runsInOrderOfTimeThenOfAdding() {
        mActions.at(20, t -> mRun.add("c" + t));
        mActions.at(10, t -> mRun.add("a" + t));
        mActions.at(10, t -> mRun.add("b" + t));
        mActions.at(30, t -> mRun.add("d" + t));

        assertThat(mActions.nextDueAt()).hasValue(10);
        mActions.runDue(25);
        assertThat(mRun).containsExactly("a10", "b10", "c20");
        assertThat(mActions.nextDueAt()).hasValue(30);
    }

    @Test
    void runDue_runsWhatActionsAddForNow() {
        mActions.at(10, t -> mActions.at(t, u -> mRun.add("inner")));

        mActions.runDue(10);

        assertThat(mRun).containsExactly("inner");
        assertThat(mActions.nextDueAt()).isEmpty();
    }
}
