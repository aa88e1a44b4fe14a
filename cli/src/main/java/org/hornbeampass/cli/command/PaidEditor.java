package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminAnswer;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.PaidBody;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.OptionalLong;

/**
 * Sets what is paid for a budget, on top of what was read.
 *
 * <p>Invariant: a top-up that comes between is never overwritten; a repeated call that finds its
 * own total there has succeeded. For use by one thread.
 */
final class PaidEditor {
    private final String mPath;
    private final long mTotal;

    /**
     * Makes an editor.
     *
     * @param path the budget's path
     * @param total what is to be paid
     */
    PaidEditor(String path, long total) {
        mPath = path;
        mTotal = total;
    }

    /** Sets the total, up or down. */
    Either<Failure, Integer> set(Session session) {
        return read(session).flatMap(now -> change(session, now));
    }

    /** Sets the total, down only. */
    Either<Failure, Integer> lower(Session session) {
        return read(session)
                .flatMap(
                        now ->
                                mTotal > now.paid()
                                        ? Either.left(notLower(now))
                                        : change(session, now));
    }

    private Either<Failure, Integer> change(Session session, BudgetView now) {
        if (now.headsFor(mTotal)) {
            session.note("nothing to change: it is so already");
            return Either.right(session.print(now, Fields::table));
        }
        PaidBody body = new PaidBody(mTotal, OptionalLong.of(now.paid()));
        Either<Failure, Integer> result =
                session.show(
                        AdminCall.repeatablePut(mPath + "/paid", body),
                        BudgetView.class,
                        Fields::table);
        boolean lost = result.isLeft() && result.getLeft().kind() == ErrorKind.REVISION_CONFLICT;
        return lost ? raced(session, result.getLeft()) : result;
    }

    private Either<Failure, Integer> raced(Session session, Failure conflict) {
        Either<Failure, BudgetView> now = read(session);
        if (now.isRight() && now.get().headsFor(mTotal)) {
            return Either.right(session.print(now.get(), Fields::table));
        }
        now.peek(
                theirs ->
                        session.note(
                                "you wanted "
                                        + mTotal
                                        + " paid in all; now it is "
                                        + theirs.paid()
                                        + ". Run the command again with the total that is right"));
        return Either.left(conflict);
    }

    private Either<Failure, BudgetView> read(Session session) {
        return session.call(AdminCall.get(mPath), BudgetView.class).map(AdminAnswer::value);
    }

    private Failure notLower(BudgetView now) {
        return Failure.of(
                ErrorKind.FIELD_INVALID,
                "--to "
                        + mTotal
                        + " is above the "
                        + now.paid()
                        + " tokens paid; raise it with `budget top-up`");
    }
}
