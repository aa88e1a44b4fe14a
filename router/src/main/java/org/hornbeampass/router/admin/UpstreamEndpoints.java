package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.UpstreamList;
import org.hornbeampass.protocol.admin.UpstreamView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.UpstreamSpec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The endpoints for upstreams.
 *
 * <p>Thread-safe: holds no state of its own.
 */
final class UpstreamEndpoints {
    private final ConfigurationPort mConfiguration;
    private final ConfigChanges mChanges;

    UpstreamEndpoints(ConfigurationPort configuration, ConfigChanges changes) {
        mConfiguration = configuration;
        mChanges = changes;
    }

    List<AdminRoute> routes() {
        String one = AdminPaths.UPSTREAMS + "/*";
        return List.of(
                new AdminRoute("GET", AdminPaths.UPSTREAMS, this::list),
                new AdminRoute("GET", one, this::show),
                new AdminRoute("PUT", one, this::put),
                new AdminRoute("DELETE", one, this::delete),
                new AdminRoute("POST", one + "/drain", this::drain));
    }

    private void list(AdminRequest request, AdminReply reply) {
        Either<Failure, Integer> limit = request.limit();
        if (limit.isLeft()) {
            reply.sendFailure(limit.getLeft());
            return;
        }
        ConfigPage<UpstreamSpec> page =
                ConfigPage.of(mConfiguration.snapshot().upstreams(), request.after(), limit.get());
        reply.sendWithAge(aged(request, new UpstreamList(page.views(this::view), page.next())));
    }

    private void show(AdminRequest request, AdminReply reply) {
        Either<Failure, UpstreamSpec> spec = findUpstream(request);
        reply.sendWithAge(spec.map(s -> aged(request, view(s))));
    }

    private void put(AdminRequest request, AdminReply reply) {
        Either<Failure, UpstreamSpec> spec =
                request.body(UpstreamSpec.class)
                        .flatMap(s -> requireMatchingId(request.variable(0), s))
                        .flatMap(s -> AdminChecks.validOrFailure(AdminChecks.upstream(s), s))
                        .flatMap(this::requireFreeAddress);
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (spec.isLeft() || expected.isLeft()) {
            reply.sendFailure(spec.isLeft() ? spec.getLeft() : expected.getLeft());
            return;
        }
        mChanges.propose(
                request,
                new ConfigChange.PutUpstream(spec.get()),
                expected.get(),
                (atMs, result) -> reply.sendResult(result));
    }

    private void delete(AdminRequest request, AdminReply reply) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.sendFailure(expected.getLeft());
            return;
        }
        UpstreamId id = new UpstreamId(request.variable(0));
        mChanges.modify(
                request,
                ObjectKey.upstream(id),
                expected.get(),
                () -> Either.right(new ConfigChange.DeleteUpstream(id)),
                (atMs, result) -> reply.sendResult(result));
    }

    private void drain(AdminRequest request, AdminReply reply) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.sendFailure(expected.getLeft());
            return;
        }
        mChanges.modify(
                request,
                ObjectKey.upstream(new UpstreamId(request.variable(0))),
                expected.get(),
                () -> findUpstream(request).map(s -> new ConfigChange.PutUpstream(s.asDraining())),
                (atMs, result) -> reply.sendResult(result));
    }

    private Either<Failure, UpstreamSpec> findUpstream(AdminRequest request) {
        String name = request.variable(0);
        UpstreamSpec spec = mConfiguration.snapshot().upstreams().get(new UpstreamId(name));
        return spec == null
                ? Either.left(ConfigChanges.notFound(ObjectKey.upstream(new UpstreamId(name))))
                : Either.right(spec);
    }

    private Either<Failure, UpstreamSpec> requireFreeAddress(UpstreamSpec spec) {
        Optional<UpstreamSpec> other =
                mConfiguration.snapshot().upstreams().values().stream()
                        .filter(u -> !u.id().equals(spec.id()))
                        .filter(u -> u.baseUri().equals(spec.baseUri()))
                        .findFirst();
        return other.isEmpty()
                ? Either.right(spec)
                : Either.left(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "baseUri \""
                                        + spec.baseUri()
                                        + "\" is upstream "
                                        + other.get().id()
                                        + "'s already; each upstream has its own address"));
    }

    private UpstreamView view(UpstreamSpec spec) {
        ObjectKey object = ObjectKey.upstream(spec.id());
        return new UpstreamView(mConfiguration.snapshot().objectRevision(object), spec);
    }

    private <T> Aged<T> aged(AdminRequest request, T value) {
        return new Aged<>(value, mConfiguration.ageMs(request.nowMs()));
    }

    private static Either<Failure, UpstreamSpec> requireMatchingId(String name, UpstreamSpec spec) {
        return name.equals(spec.id().value())
                ? Either.right(spec)
                : Either.left(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "id \""
                                        + AdminChecks.shortened(spec.id().value())
                                        + "\" differs from the path's \""
                                        + AdminChecks.shortened(name)
                                        + "\"; make them equal"));
    }
}
