package org.hornbeampass.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.testing.FakeFleet;
import org.hornbeampass.testing.FakeRouter;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Tests that proposals take effect on every VM and that concurrent proposals conflict. */
class ConfigStoreTest {
    private static final ConfigChange DESK =
            new ConfigChange.PutTemplate(new Template("desk", Parameters.none()));

    @Test
    void propose_reachesEveryVmWithinSeconds() {
        FakeFleet fleet = FakeFleet.started(1, 12, 3, 2);

        assertThat(propose(fleet, "vm-3", DESK, 0).get()).isEqualTo(1L);
        fleet.runFor(4_000);

        for (FakeRouter router : fleet.running()) {
            assertThat(router.config().snapshot().templates()).containsKey("desk");
        }
    }

    @Test
    void propose_ofTwoConcurrentChanges_namesWinningRevisionToLoser() {
        FakeFleet fleet = FakeFleet.started(2, 6);
        List<Either<Failure, Long>> answers = new ArrayList<>();

        for (String vm : List.of("vm-1", "vm-2")) {
            fleet.router(vm)
                    .config()
                    .propose(
                            fleet.nowMs(),
                            DESK,
                            OptionalLong.of(0),
                            (t, answer) -> answers.add(answer));
        }
        fleet.runFor(5_000);

        assertThat(answers).hasSize(2);
        assertThat(answers).filteredOn(Either::isRight).containsExactly(Either.right(1L));
        Failure conflict = answers.stream().filter(Either::isLeft).findFirst().get().getLeft();
        assertThat(conflict.kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(conflict.message()).contains("template/desk").contains("revision 1");
    }

    @Test
    void vmRevisions_includesEveryVm() {
        FakeFleet fleet = FakeFleet.started(3, 12, 3, 2);
        assertThat(propose(fleet, "vm-3", DESK, 0).get()).isEqualTo(1L);

        ConfigStore store = fleet.router("vm-8").config();
        store.vmRevisions(fleet.nowMs());
        fleet.runFor(4_000);

        assertThat(store.vmRevisions(fleet.nowMs()))
                .hasSize(12)
                .allMatch(r -> r.revision().equals(OptionalLong.of(1)));
    }

    private static Either<Failure, Long> propose(
            FakeFleet fleet, String vm, ConfigChange change, long expected) {
        List<Either<Failure, Long>> answers = new ArrayList<>();
        fleet.router(vm)
                .config()
                .propose(
                        fleet.nowMs(),
                        change,
                        OptionalLong.of(expected),
                        (t, answer) -> answers.add(answer));
        fleet.runFor(2_000);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }
}
