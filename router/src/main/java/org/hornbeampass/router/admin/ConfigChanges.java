package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Proposes operators' changes, and tells the loser of a race who won.
 *
 * <p>Invariant: a change that the operator made conditional is proposed once; one that keeps parts
 * of what is there is proposed again, from what is there then, up to {@value #MAX_ATTEMPTS} times.
 * Thread-safe; run with no lock held.
 */
final class ConfigChanges {
    private static final Logger LOG = LogManager.getLogger(ConfigChanges.class);
    private static final int MAX_ATTEMPTS = 5;

    private final ConfigurationPort mConfiguration;

    ConfigChanges(ConfigurationPort configuration) {
        mConfiguration = configuration;
    }

    /** Proposes one change as it is. */
    void propose(
            AdminRequest request,
            ConfigEdit edit,
            OptionalLong expected,
            BiConsumer<Long, Either<Failure, Changed>> done) {
        ConfigObject object = edit.object();
        OptionalLong current = mConfiguration.revisionOf(object);
        Optional<Failure> early = precheck(object, expected, current);
        if (early.isPresent()) {
            done.accept(request.nowMs(), Either.left(early.get()));
            return;
        }
        mConfiguration.propose(
                request.nowMs(),
                edit,
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
                            result.mapLeft(f -> named(f, object))
                                    .map(revision -> new Changed(object.name(), revision)));
                });
    }

    /**
     * Proposes a change that is made from what is there, again where another was faster.
     *
     * @param request the operator's request
     * @param object the object, which must exist
     * @param expected the revision that the operator expects; empty for any
     * @param edit makes the change from the present configuration
     * @param done run once
     */
    void modify(
            AdminRequest request,
            ConfigObject object,
            OptionalLong expected,
            Supplier<Either<Failure, ConfigEdit>> edit,
            BiConsumer<Long, Either<Failure, Changed>> done) {
        modify(request, object, expected, edit, done, 1);
    }

    private void modify(
            AdminRequest request,
            ConfigObject object,
            OptionalLong expected,
            Supplier<Either<Failure, ConfigEdit>> edit,
            BiConsumer<Long, Either<Failure, Changed>> done,
            int attempt) {
        OptionalLong current = mConfiguration.revisionOf(object);
        Either<Failure, ConfigEdit> made =
                current.isEmpty() ? Either.left(unknown(object)) : edit.get();
        if (made.isLeft()) {
            done.accept(request.nowMs(), Either.left(made.getLeft()));
            return;
        }
        boolean again = expected.isEmpty() && attempt < MAX_ATTEMPTS;
        propose(
                request,
                made.get(),
                expected.isPresent() ? expected : current,
                (atMs, result) -> {
                    boolean lost =
                            result.isLeft()
                                    && result.getLeft().kind() == ErrorKind.REVISION_CONFLICT;
                    if (lost && again) {
                        modify(request, object, expected, edit, done, attempt + 1);
                        return;
                    }
                    done.accept(atMs, result);
                });
    }

    /** Returns the failure for an object that does not exist. */
    static Failure unknown(ConfigObject object) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "there is no "
                        + object
                        + "; `hornbeamctl "
                        + object.kind().word()
                        + " list` shows what there is");
    }

    private static Optional<Failure> precheck(
            ConfigObject object, OptionalLong expected, OptionalLong current) {
        if (expected.isEmpty()) {
            return Optional.empty();
        }
        if (expected.getAsLong() == 0) {
            return current.isPresent()
                    ? Optional.of(exists(object, current.getAsLong()))
                    : Optional.empty();
        }
        if (current.isEmpty()) {
            return Optional.of(unknown(object));
        }
        return current.getAsLong() > expected.getAsLong()
                ? Optional.of(conflict(object, expected.getAsLong(), current.getAsLong()))
                : Optional.empty();
    }

    private static Failure exists(ConfigObject object, long revision) {
        return Failure.of(
                ErrorKind.ALREADY_EXISTS,
                object
                        + " exists already, at revision "
                        + revision
                        + "; change it with `set`, or take another name");
    }

    private static Failure conflict(ConfigObject object, long expected, long current) {
        return Failure.of(
                ErrorKind.REVISION_CONFLICT,
                object
                        + " is at revision "
                        + current
                        + ", changed by another operator after revision "
                        + expected
                        + " on which this change was made; read it again, decide, and send the"
                        + " change with If-Match: "
                        + current);
    }

    private static Failure named(Failure failure, ConfigObject object) {
        return failure.message().contains(object.name())
                ? failure
                : new Failure(
                        failure.kind(), object + ": " + failure.message(), failure.retryAfterMs());
    }
}
