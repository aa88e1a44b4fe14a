package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminAnswer;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * Changes one object of the configuration: reads it, changes it, and replaces it at the revision
 * that was read.
 *
 * <p>Invariant: another operator's change is never overwritten unseen; a lost race prints both
 * values. A repeated call that finds its own value there has succeeded. For use by one thread.
 *
 * @param <V> how the API shows the object
 * @param <B> what an operator sets of it
 */
final class ObjectEditor<V, B> {
    private final String mPath;
    private final Class<V> mView;
    private final ToLongFunction<V> mRevision;
    private final Function<V, B> mBody;

    ObjectEditor(String path, Class<V> view, ToLongFunction<V> revision, Function<V, B> body) {
        mPath = path;
        mView = view;
        mRevision = revision;
        mBody = body;
    }

    /** Creates the object. */
    Either<Failure, Integer> create(Session session, B body) {
        Either<Failure, AdminAnswer<Changed>> answer =
                session.call(AdminCall.create(mPath, body), Changed.class);
        if (answer.isRight()) {
            return Either.right(session.print(answer.get().value(), Fields::table));
        }
        if (answer.getLeft().kind() != ErrorKind.ALREADY_EXISTS) {
            return Either.left(answer.getLeft());
        }
        return session.call(AdminCall.get(mPath), mView)
                .filter(current -> mBody.apply(current.value()).equals(body))
                .map(current -> already(session, current.get().value()))
                .getOrElse(() -> Either.left(answer.getLeft()));
    }

    /**
     * Changes the object.
     *
     * @param session the run
     * @param ifRevision the revision that the object must have; 0 for the one that is read
     * @param change makes the new value from the present one
     */
    Either<Failure, Integer> set(Session session, long ifRevision, UnaryOperator<B> change) {
        Either<Failure, AdminAnswer<V>> read = session.call(AdminCall.get(mPath), mView);
        if (read.isLeft()) {
            return Either.left(read.getLeft());
        }
        V current = read.get().value();
        B wanted = change.apply(mBody.apply(current));
        if (wanted.equals(mBody.apply(current))) {
            return already(session, current);
        }
        long revision = ifRevision > 0 ? ifRevision : mRevision.applyAsLong(current);
        Either<Failure, AdminAnswer<Changed>> answer =
                session.call(AdminCall.replace(mPath, wanted, revision), Changed.class);
        if (answer.isRight()) {
            return Either.right(session.print(answer.get().value(), Fields::table));
        }
        return answer.getLeft().kind() == ErrorKind.REVISION_CONFLICT
                ? lost(session, wanted, answer.getLeft())
                : Either.left(answer.getLeft());
    }

    /** Deletes the object, at a revision where that is positive. */
    Either<Failure, Integer> delete(Session session, long ifRevision) {
        return session.show(AdminCall.delete(mPath, ifRevision), Changed.class, Fields::table);
    }

    private Either<Failure, Integer> lost(Session session, B wanted, Failure conflict) {
        Either<Failure, AdminAnswer<V>> read = session.call(AdminCall.get(mPath), mView);
        if (read.isLeft()) {
            return Either.left(conflict);
        }
        V current = read.get().value();
        B theirs = mBody.apply(current);
        if (theirs.equals(wanted)) {
            return already(session, current);
        }
        session.explain(Fields.differences(wanted, theirs));
        session.note(
                "to put your change on top of theirs, run the command again without --if-revision,"
                        + " or with --if-revision "
                        + mRevision.applyAsLong(current)
                        + ", which refuses it should they change it once more");
        return Either.left(conflict);
    }

    private Either<Failure, Integer> already(Session session, V current) {
        session.note("nothing to change: it is so already");
        return Either.right(
                session.print(new Changed(name(), mRevision.applyAsLong(current)), Fields::table));
    }

    private String name() {
        return mPath.substring(mPath.lastIndexOf('/') + 1);
    }
}
