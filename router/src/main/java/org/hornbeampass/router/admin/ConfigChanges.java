package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ObjectKey;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Proposes operators' changes and reports the current revision when a concurrent change came first.
 *
 * <p>Invariant: a change with an expected revision is proposed once. Without one, a change that
 * keeps parts of the present object is computed again from the new state after a conflict, up to
 * {@value #MAX_ATTEMPTS} attempts in all. Thread-safe; callbacks run with no lock held.
 */
final class ConfigChanges {
    private static final Logger LOG = LogManager.getLogger(ConfigChanges.class);
    private static final int MAX_ATTEMPTS = 5;

    private final ConfigurationPort mConfiguration;

    ConfigChanges(ConfigurationPort configuration) {
        mConfiguration = configuration;
    }

    /** Proposes a change once, without another attempt after a conflict. */
    void propose(
            AdminRequest request,
            ConfigChange change,
            OptionalLong expected,
            BiConsumer<Long, Either<Failure, Changed>> done) {
        ObjectKey object = change.object();
        OptionalLong current = revisionOf(object);
        Optional<Failure> early = precheck(object, expected, current);
        if (early.isPresent()) {
            done.accept(request.nowMs(), Either.left(early.get()));
            return;
        }
        mConfiguration.propose(
                request.nowMs(),
                change,
                expected,
                (atMs, result) -> {
                    result.peek(
                            revision ->
                                    LOG.info(
                                            "operator {} changed {} at revision {}",
                                            request.operator(),
                                            object,
                                            revision));
                    done.accept(
                            atMs,
                            result.mapLeft(f -> withObjectName(f, object, expected))
                                    .map(revision -> new Changed(name(object), revision)));
                });
    }

    /**
     * Proposes a change that is computed from the present configuration; without an expected
     * revision, tries again after a conflict with a concurrent change.
     *
     * @param request the operator's request
     * @param object the object, which must exist
     * @param expected the revision that the operator expects; empty for any
     * @param change computes the change from the present configuration
     * @param done called once with the result
     */
    void modify(
            AdminRequest request,
            ObjectKey object,
            OptionalLong expected,
            Supplier<Either<Failure, ConfigChange>> change,
            BiConsumer<Long, Either<Failure, Changed>> done) {
        modify(request, object, expected, change, done, 1);
    }

    private void modify(
            AdminRequest request,
            ObjectKey object,
            OptionalLong expected,
            Supplier<Either<Failure, ConfigChange>> change,
            BiConsumer<Long, Either<Failure, Changed>> done,
            int attempt) {
        OptionalLong current = revisionOf(object);
        Either<Failure, ConfigChange> newChange =
                current.isEmpty() ? Either.left(notFound(object)) : change.get();
        if (newChange.isLeft()) {
            done.accept(request.nowMs(), Either.left(newChange.getLeft()));
            return;
        }
        boolean mayRetry = expected.isEmpty() && attempt < MAX_ATTEMPTS;
        propose(
                request,
                newChange.get(),
                expected.isPresent() ? expected : current,
                (atMs, result) -> {
                    boolean conflict =
                            result.isLeft()
                                    && result.getLeft().kind() == ErrorKind.REVISION_CONFLICT;
                    if (conflict && mayRetry) {
                        modify(request, object, expected, change, done, attempt + 1);
                        return;
                    }
                    done.accept(atMs, result);
                });
    }

    /** Returns the failure for an object that does not exist. */
    static Failure notFound(ObjectKey object) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "there is no "
                        + describe(object)
                        + "; `hornbeamctl "
                        + kind(object)
                        + " list` shows those that exist");
    }

    private Optional<Failure> precheck(
            ObjectKey object, OptionalLong expected, OptionalLong current) {
        if (expected.isEmpty()) {
            return Optional.empty();
        }
        long applied = mConfiguration.snapshot().revision();
        if (expected.getAsLong() > applied) {
            return Optional.of(notYetApplied(expected.getAsLong(), applied));
        }
        if (expected.getAsLong() == 0) {
            return current.isPresent()
                    ? Optional.of(alreadyExists(object, current.getAsLong()))
                    : Optional.empty();
        }
        if (current.isEmpty()) {
            return Optional.of(notFound(object));
        }
        return current.getAsLong() > expected.getAsLong()
                ? Optional.of(conflict(object, expected.getAsLong(), current.getAsLong()))
                : Optional.empty();
    }

    private static Failure notYetApplied(long expected, long applied) {
        return Failure.of(
                ErrorKind.NOT_READY,
                "this router runs revision "
                        + applied
                        + " and has not yet applied "
                        + expected
                        + ", on which the change is based; send it again in a moment, or to"
                        + " another router");
    }

    private static Failure alreadyExists(ObjectKey object, long revision) {
        return Failure.of(
                ErrorKind.ALREADY_EXISTS,
                describe(object)
                        + " exists already, at revision "
                        + revision
                        + "; change it with `set`, or take another name");
    }

    private static Failure conflict(ObjectKey object, long expected, long current) {
        return Failure.of(
                ErrorKind.REVISION_CONFLICT,
                describe(object)
                        + " is at revision "
                        + current
                        + ", changed by another operator after revision "
                        + expected
                        + " on which this change is based; read it again, decide, and send the"
                        + " change with If-Match: "
                        + current);
    }

    private static Failure withObjectName(
            Failure failure, ObjectKey object, OptionalLong expected) {
        boolean creation = expected.isPresent() && expected.getAsLong() == 0;
        ErrorKind kind =
                creation && failure.kind() == ErrorKind.REVISION_CONFLICT
                        ? ErrorKind.ALREADY_EXISTS
                        : failure.kind();
        String message =
                failure.message().contains(name(object))
                        ? failure.message()
                        : describe(object) + ": " + failure.message();
        return new Failure(kind, message, failure.retryAfterMs());
    }

    private OptionalLong revisionOf(ObjectKey object) {
        long revision = mConfiguration.snapshot().objectRevision(object);
        return revision == 0 ? OptionalLong.empty() : OptionalLong.of(revision);
    }

    private static String kind(ObjectKey object) {
        return object.value().substring(0, object.value().indexOf('/'));
    }

    private static String name(ObjectKey object) {
        return object.value().substring(object.value().indexOf('/') + 1);
    }

    private static String describe(ObjectKey object) {
        return kind(object) + " " + name(object);
    }
}
