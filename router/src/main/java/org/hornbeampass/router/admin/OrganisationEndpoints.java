package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.OrganisationBody;
import org.hornbeampass.protocol.admin.OrganisationList;
import org.hornbeampass.protocol.admin.OrganisationView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * The endpoints for organisations, except those for their keys and budgets.
 *
 * <p>Thread-safe: holds no state of its own.
 */
final class OrganisationEndpoints {
    private static final String FIRST_KEY = "first";
    private static final int MAX_LISTED_TEMPLATES = 20;

    private final ConfigurationPort mConfiguration;
    private final ConfigChanges mChanges;
    private final KeyEndpoints mKeys;

    OrganisationEndpoints(
            ConfigurationPort configuration, ConfigChanges changes, KeyEndpoints keys) {
        mConfiguration = configuration;
        mChanges = changes;
        mKeys = keys;
    }

    List<AdminRoute> routes() {
        String one = AdminPaths.ORGANISATIONS + "/*";
        return List.of(
                new AdminRoute("GET", AdminPaths.ORGANISATIONS, this::list),
                new AdminRoute("GET", one, this::show),
                new AdminRoute("POST", one, this::create),
                new AdminRoute("PUT", one, this::put),
                new AdminRoute("DELETE", one, this::delete));
    }

    private void list(AdminRequest request, AdminReply reply) {
        Either<Failure, Integer> limit = request.limit();
        if (limit.isLeft()) {
            reply.sendFailure(limit.getLeft());
            return;
        }
        ConfigSnapshot snapshot = mConfiguration.snapshot();
        ConfigPage<OrganisationSpec> page =
                ConfigPage.of(snapshot.organisations(), request.after(), limit.get());
        reply.sendWithAge(
                aged(
                        request,
                        new OrganisationList(page.views(o -> view(snapshot, o)), page.next())));
    }

    private void show(AdminRequest request, AdminReply reply) {
        ConfigSnapshot snapshot = mConfiguration.snapshot();
        OrganisationId id = new OrganisationId(request.variable(0));
        OrganisationSpec spec = snapshot.organisations().get(id);
        if (spec == null) {
            reply.sendFailure(ConfigChanges.notFound(ObjectKey.organisation(id)));
            return;
        }
        reply.sendWithAge(aged(request, view(snapshot, spec)));
    }

    private void create(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        Either<Failure, OrganisationBody> body = validate(request);
        if (body.isLeft()) {
            reply.sendFailure(body.getLeft());
            return;
        }
        mKeys.createWithKey(request, reply, FIRST_KEY, spec(id, body.get(), Map.of()));
    }

    private void put(AdminRequest request, AdminReply reply) {
        OrganisationId id = new OrganisationId(request.variable(0));
        Either<Failure, OrganisationBody> body = validate(request);
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (body.isLeft() || expected.isLeft()) {
            reply.sendFailure(body.isLeft() ? body.getLeft() : expected.getLeft());
            return;
        }
        mChanges.modify(
                request,
                ObjectKey.organisation(id),
                expected.get(),
                () -> Either.right(replacement(id, body.get())),
                (atMs, result) -> reply.sendResult(result));
    }

    private void delete(AdminRequest request, AdminReply reply) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        if (expected.isLeft()) {
            reply.sendFailure(expected.getLeft());
            return;
        }
        OrganisationId id = new OrganisationId(request.variable(0));
        mChanges.modify(
                request,
                ObjectKey.organisation(id),
                expected.get(),
                () -> Either.right(new ConfigChange.DeleteOrganisation(id)),
                (atMs, result) -> reply.sendResult(result));
    }

    private ConfigChange replacement(OrganisationId id, OrganisationBody body) {
        OrganisationSpec current = mConfiguration.snapshot().organisations().get(id);
        Map<String, String> keys = current == null ? Map.of() : current.keyHashes();
        return new ConfigChange.PutOrganisation(spec(id, body, keys));
    }

    private Either<Failure, OrganisationBody> validate(AdminRequest request) {
        return request.body(OrganisationBody.class)
                .flatMap(b -> AdminChecks.validOrFailure(faults(request.variable(0), b), b));
    }

    private List<String> faults(String id, OrganisationBody body) {
        List<String> faults = new ArrayList<>();
        AdminChecks.name("organisation", id).ifPresent(faults::add);
        AdminChecks.name("template", body.template()).ifPresent(faults::add);
        boolean known = mConfiguration.snapshot().templates().containsKey(body.template());
        if (faults.isEmpty() && !known) {
            faults.add(unknownTemplate(body.template()));
        }
        faults.addAll(AdminChecks.parameters(body.overrides().orElse(Parameters.none())));
        body.budgets().forEach(b -> AdminChecks.name("budgets", b.value()).ifPresent(faults::add));
        AdminChecks.range(
                faults, "budgets (how many)", body.budgets().size(), 1, AdminChecks.MAX_BUDGETS);
        return faults;
    }

    private String unknownTemplate(String name) {
        TreeSet<String> known = new TreeSet<>(mConfiguration.snapshot().templates().keySet());
        return "template \""
                + name
                + "\" is unknown; known are: "
                + (known.isEmpty()
                        ? "none yet, create one with `hornbeamctl template create`"
                        : String.join(", ", known.stream().limit(MAX_LISTED_TEMPLATES).toList()));
    }

    private OrganisationView view(ConfigSnapshot snapshot, OrganisationSpec spec) {
        ObjectKey object = ObjectKey.organisation(spec.id());
        return new OrganisationView(
                spec.id(),
                mConfiguration.snapshot().objectRevision(object),
                spec.template(),
                spec.overrides(),
                snapshot.terms(spec.id()),
                spec.budgets().stream().sorted().toList(),
                spec.keyHashes().keySet().stream().sorted().toList());
    }

    private <T> Aged<T> aged(AdminRequest request, T value) {
        return new Aged<>(value, mConfiguration.ageMs(request.nowMs()));
    }

    private static OrganisationSpec spec(
            OrganisationId id, OrganisationBody body, Map<String, String> keys) {
        return new OrganisationSpec(
                id,
                body.template(),
                body.overrides().orElse(Parameters.none()),
                body.budgets(),
                keys);
    }
}
