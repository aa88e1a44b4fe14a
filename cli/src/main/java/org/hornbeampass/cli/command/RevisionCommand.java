package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminAnswer;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.client.Ticker;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.util.List;
import java.util.Optional;

/**
 * Shows where a revision is in force, or waits until it is everywhere.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "revision",
        description = "Shows which revision of the configuration runs where.",
        footer = {
            "%nExamples:",
            "  hornbeamctl revision",
            "  hornbeamctl revision --wait --timeout 30 --revision 12"
        })
public final class RevisionCommand extends AdminCommand {
    private static final long POLL_MS = 500;
    private static final long MS_PER_SECOND = 1000;
    private static final int MAX_NAMED = 8;

    @Option(names = "--wait", description = "Wait until the revision is in force everywhere.")
    private boolean mWait;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "60",
            description = "How long to wait. Default: ${DEFAULT-VALUE}.")
    private long mTimeoutSeconds;

    @Option(
            names = "--revision",
            paramLabel = "N",
            description = "The revision to wait for. Default: the newest.")
    private Long mRevision;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        return mWait
                ? await(session)
                : read(session).map(v -> session.print(v, RevisionCommand::table));
    }

    private Either<Failure, Integer> await(Session session) {
        Ticker ticker = session.surroundings().ticker();
        long deadlineMs = ticker.nowMs() + mTimeoutSeconds * MS_PER_SECOND;
        Optional<Long> target = Optional.ofNullable(mRevision);
        String shown = "";
        while (true) {
            Either<Failure, RevisionView> read = read(session);
            boolean late = ticker.nowMs() >= deadlineMs;
            if (read.isLeft() && (late || !read.getLeft().kind().retryable())) {
                return Either.left(read.getLeft());
            }
            if (read.isRight()) {
                RevisionView view = read.get();
                long wanted = target.orElse(view.revision());
                target = Optional.of(wanted);
                if (inForce(view, wanted)) {
                    return Either.right(session.print(view, RevisionCommand::table));
                }
                String progress = progress(view, wanted);
                if (late) {
                    session.print(view, RevisionCommand::table);
                    return Either.left(timedOut(progress));
                }
                if (!progress.equals(shown)) {
                    session.note(progress);
                    shown = progress;
                }
            }
            ticker.pause(POLL_MS);
        }
    }

    private static boolean inForce(RevisionView view, long wanted) {
        return view.revision() >= wanted && lagging(view, wanted).isEmpty();
    }

    private static List<RevisionView.RouterRevision> lagging(RevisionView view, long wanted) {
        return view.routers().stream().filter(r -> r.revision() < wanted).toList();
    }

    private static String progress(RevisionView view, long wanted) {
        List<RevisionView.RouterRevision> late = lagging(view, wanted);
        List<String> names =
                late.stream()
                        .limit(MAX_NAMED)
                        .map(r -> r.vm().name() + " (at " + r.revision() + ")")
                        .toList();
        int all = view.routers().size();
        String more = late.size() > MAX_NAMED ? " and " + (late.size() - MAX_NAMED) + " more" : "";
        return "revision "
                + wanted
                + " is in force on "
                + (all - late.size())
                + " of "
                + all
                + " routers"
                + (names.isEmpty() ? "" : "; waiting for " + String.join(", ", names) + more);
    }

    private Failure timedOut(String progress) {
        return Failure.of(
                ErrorKind.DEADLINE_EXCEEDED,
                progress
                        + "; "
                        + mTimeoutSeconds
                        + " s have passed. A VM that lags may be gone or cut off: see `hornbeamctl"
                        + " routers`, or wait on with a larger --timeout");
    }

    private static Either<Failure, RevisionView> read(Session session) {
        return session.call(AdminCall.get(AdminPaths.REVISION), RevisionView.class)
                .map(AdminAnswer::value);
    }

    private static String table(RevisionView view) {
        TextTable table = new TextTable("VM", "REVISION", "IN FORCE");
        for (RevisionView.RouterRevision router : view.routers()) {
            table.row(
                    router.vm(),
                    router.revision(),
                    router.revision() >= view.revision() ? "yes" : "not yet");
        }
        return "newest "
                + view.revision()
                + ", everywhere "
                + view.everywhere()
                + "\n"
                + table.text();
    }
}
