package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests the command that waits until a revision is in force. */
class RevisionCommandTest {
    private static final String REVISION = "GET /admin/v1/revision";

    private final FakeServer mServer = new FakeServer();

    @AfterEach
    void closeServer() {
        mServer.close();
    }

    @Test
    void revision_isATable() {
        mServer.answer(REVISION, view(12, 12, 11));

        assertThat(Run.of(mServer, "revision").out())
                .isEqualTo(
                        """
                        newest 12, everywhere 11
                        VM      REVISION  IN FORCE
                        vm-1~1        12  yes
                        vm-2~1        11  not yet
                        """);
    }

    @Test
    void wait_showsProgressAndNamesVmsThatLag() {
        mServer.answer(REVISION, view(12, 11, 11))
                .answer(REVISION, view(12, 12, 11))
                .answer(REVISION, view(13, 12, 13));

        Run run = Run.of(mServer, "revision", "--wait");

        assertThat(run.code()).isZero();
        assertThat(run.err())
                .isEqualTo(
                        """
                        hornbeamctl: revision 12 is in force on 0 of 2 routers; waiting for vm-1 \
                        (at 11), vm-2 (at 11)
                        hornbeamctl: revision 12 is in force on 1 of 2 routers; waiting for vm-2 \
                        (at 11)
                        """);
    }

    @Test
    void wait_thatTakesTooLong_exitsWithTheDeadlinesCode() {
        mServer.answer(REVISION, view(12, 12, 11));

        Run run = Run.of(mServer, "revision", "--wait", "--timeout", "2");

        assertThat(run.code()).isEqualTo(ErrorKind.DEADLINE_EXCEEDED.exitCode());
        assertThat(run.err()).contains("waiting for vm-2 (at 11); 2 s have passed");
        assertThat(mServer.requests()).hasSize(5);
    }

    @Test
    void wait_goesOnThroughAnOutage() {
        mServer.answer(REVISION, view(12, 12, 11))
                .refuse(REVISION, ErrorKind.OVERLOADED, "busy")
                .answer(REVISION, view(12, 12, 12));

        assertThat(Run.of(mServer, "revision", "--wait").code()).isZero();
    }

    @Test
    void wait_forARevisionThatIsNotThereYet_waits() {
        mServer.answer(REVISION, view(12, 12, 12)).answer(REVISION, view(13, 13, 13));

        Run run = Run.of(mServer, "revision", "--wait", "--revision", "13");

        assertThat(run.code()).isZero();
        assertThat(mServer.requests()).hasSize(2);
    }

    private static RevisionView view(long newest, long first, long second) {
        return new RevisionView(
                new VmId("vm-1", 1),
                newest,
                Math.min(first, second),
                List.of(
                        new RevisionView.RouterRevision(new VmId("vm-1", 1), first),
                        new RevisionView.RouterRevision(new VmId("vm-2", 1), second)));
    }
}
