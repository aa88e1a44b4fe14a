package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The endpoints for callers' keys.
 *
 * <p>Invariant: a key is sent once, in the response to its creation, and only its hash is stored.
 * Thread-safe: holds no state of its own.
 */
final class KeyEndpoints {
    private final ConfigurationPort mConfiguration;
    private final ConfigChanges mChanges;
    private final KeyGenerator mKeyGenerator;

    KeyEndpoints(
            ConfigurationPort configuration, ConfigChanges changes, KeyGenerator keyGenerator) {
        mConfiguration = configuration;
        mChanges = changes;
        mKeyGenerator = keyGenerator;
    }

    List<AdminRoute> routes() {
        String one = AdminPaths.ORGANISATIONS + "/*/keys/*";
        return List.of(
                new AdminRoute("POST", one, this::add),
                new AdminRoute("DELETE", one, this::revoke));
    }

    /** Creates an organisation with one key and replies with that key. */
    void createWithKey(
            AdminRequest request, AdminReply reply, String keyName, OrganisationSpec spec) {
        String key = mKeyGenerator.next();
        OrganisationSpec keyed = withKeys(spec, Map.of(keyName, KeyGenerator.hash(key)));
        mChanges.propose(
                request,
                new ConfigChange.PutOrganisation(keyed),
                OptionalLong.of(0),
                (atMs, result) -> {
                    if (result.isLeft()) {
                        reply.sendFailure(result.getLeft());
                        return;
                    }
                    reply.sendCreated(
                            new KeyCreated(spec.id(), keyName, key, result.get().revision()));
                });
    }

    private void add(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        String name = request.variable(1);
        Optional<String> fault = AdminChecks.name("key name", name);
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (fault.isPresent() || expected.isLeft()) {
            reply.sendFailure(
                    fault.map(f -> Failure.of(ErrorKind.FIELD_INVALID, f))
                            .orElseGet(expected::getLeft));
            return;
        }
        String key = mKeyGenerator.next();
        mChanges.modify(
                request,
                ObjectKey.organisation(id),
                expected.get(),
                () -> withAddedKey(id, name, KeyGenerator.hash(key)),
                (atMs, result) -> {
                    if (result.isLeft()) {
                        reply.sendFailure(result.getLeft());
                        return;
                    }
                    reply.sendCreated(new KeyCreated(id, name, key, result.get().revision()));
                });
    }

    private void revoke(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.sendFailure(expected.getLeft());
            return;
        }
        mChanges.modify(
                request,
                ObjectKey.organisation(id),
                expected.get(),
                () -> withoutKey(id, request.variable(1)),
                (atMs, result) -> reply.sendResult(result));
    }

    private Either<Failure, ConfigChange> withAddedKey(
            OrganisationId id, String name, String hash) {
        return findOrganisation(id).flatMap(spec -> withAddedKey(spec, name, hash));
    }

    private static Either<Failure, ConfigChange> withAddedKey(
            OrganisationSpec spec, String name, String hash) {
        if (spec.keyHashes().containsKey(name)) {
            return Either.left(
                    Failure.of(
                            ErrorKind.ALREADY_EXISTS,
                            "organisation "
                                    + spec.id()
                                    + " has a key "
                                    + name
                                    + " already; take another name, or revoke that one first"));
        }
        if (spec.keyHashes().size() >= AdminChecks.MAX_KEYS) {
            return Either.left(
                    Failure.of(
                            ErrorKind.FIELD_INVALID,
                            "organisation "
                                    + spec.id()
                                    + " has "
                                    + AdminChecks.MAX_KEYS
                                    + " keys, which is the limit; revoke one first"));
        }
        Map<String, String> keys = new HashMap<>(spec.keyHashes());
        keys.put(name, hash);
        return Either.right(new ConfigChange.PutOrganisation(withKeys(spec, keys)));
    }

    private Either<Failure, ConfigChange> withoutKey(OrganisationId id, String name) {
        return findOrganisation(id)
                .flatMap(
                        spec -> {
                            Map<String, String> keys = new HashMap<>(spec.keyHashes());
                            return keys.remove(name) == null
                                    ? Either.left(unknownKey(id, name))
                                    : Either.right(
                                            new ConfigChange.PutOrganisation(withKeys(spec, keys)));
                        });
    }

    private Either<Failure, OrganisationSpec> findOrganisation(OrganisationId id) {
        OrganisationSpec spec = mConfiguration.snapshot().organisations().get(id);
        return spec == null
                ? Either.left(ConfigChanges.notFound(ObjectKey.organisation(id)))
                : Either.right(spec);
    }

    private static Failure unknownKey(OrganisationId id, String name) {
        return Failure.of(
                ErrorKind.NOT_FOUND,
                "organisation "
                        + id
                        + " has no key "
                        + AdminChecks.shortened(name)
                        + "; `hornbeamctl organisation show "
                        + id
                        + "` lists their names");
    }

    private static OrganisationSpec withKeys(OrganisationSpec spec, Map<String, String> keys) {
        return new OrganisationSpec(
                spec.id(), spec.template(), spec.overrides(), spec.budgets(), keys);
    }
}
