package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.TemplateList;
import org.hornbeampass.protocol.admin.TemplateView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.ObjectKey;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The endpoints for templates.
 *
 * <p>Thread-safe: holds no state of its own.
 */
final class TemplateEndpoints {
    private final ConfigurationPort mConfiguration;
    private final ConfigChanges mChanges;

    TemplateEndpoints(ConfigurationPort configuration, ConfigChanges changes) {
        mConfiguration = configuration;
        mChanges = changes;
    }

    List<AdminRoute> routes() {
        String one = AdminPaths.TEMPLATES + "/*";
        return List.of(
                new AdminRoute("GET", AdminPaths.TEMPLATES, this::list),
                new AdminRoute("GET", one, this::show),
                new AdminRoute("PUT", one, this::put),
                new AdminRoute("DELETE", one, this::delete));
    }

    private void list(AdminRequest request, AdminReply reply) {
        Either<Failure, Integer> limit = request.limit();
        if (limit.isLeft()) {
            reply.sendFailure(limit.getLeft());
            return;
        }
        ConfigPage<Template> page =
                ConfigPage.of(mConfiguration.snapshot().templates(), request.after(), limit.get());
        reply.sendWithAge(aged(request, new TemplateList(page.views(this::view), page.next())));
    }

    private void show(AdminRequest request, AdminReply reply) {
        String name = request.variable(0);
        Template template = mConfiguration.snapshot().templates().get(name);
        if (template == null) {
            reply.sendFailure(ConfigChanges.notFound(ObjectKey.template(name)));
            return;
        }
        reply.sendWithAge(aged(request, view(template)));
    }

    private void put(AdminRequest request, AdminReply reply) {
        Either<Failure, Parameters> parameters =
                request.body(Parameters.class).flatMap(p -> validate(request.variable(0), p));
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        Optional<Failure> fault = firstFault(parameters, expected);
        if (fault.isPresent()) {
            reply.sendFailure(fault.get());
            return;
        }
        Template template = new Template(request.variable(0), parameters.get());
        mChanges.propose(
                request,
                new ConfigChange.PutTemplate(template),
                expected.get(),
                (atMs, result) -> reply.sendResult(result));
    }

    private void delete(AdminRequest request, AdminReply reply) {
        Either<Failure, OptionalLong> expected = request.expectedRevision();
        String name = request.variable(0);
        ObjectKey object = ObjectKey.template(name);
        Optional<Failure> fault = expected.isLeft() ? Optional.of(expected.getLeft()) : inUse(name);
        if (fault.isPresent()) {
            reply.sendFailure(fault.get());
            return;
        }
        mChanges.modify(
                request,
                object,
                expected.get(),
                () -> Either.right(new ConfigChange.DeleteTemplate(name)),
                (atMs, result) -> reply.sendResult(result));
    }

    private Optional<Failure> inUse(String template) {
        ConfigSnapshot snapshot = mConfiguration.snapshot();
        List<String> users =
                snapshot.organisations().values().stream()
                        .filter(o -> o.template().equals(template))
                        .map(o -> o.id().value())
                        .sorted()
                        .limit(5)
                        .toList();
        return users.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                "template "
                                        + template
                                        + " is used by "
                                        + String.join(", ", users)
                                        + "; give these organisations another template first"));
    }

    private TemplateView view(Template template) {
        long revision =
                mConfiguration.snapshot().objectRevision(ObjectKey.template(template.name()));
        return new TemplateView(template.name(), revision, template.parameters());
    }

    private <T> Aged<T> aged(AdminRequest request, T value) {
        return new Aged<>(value, mConfiguration.ageMs(request.nowMs()));
    }

    private static Either<Failure, Parameters> validate(String name, Parameters parameters) {
        List<String> faults = new ArrayList<>();
        AdminChecks.name("template", name).ifPresent(faults::add);
        faults.addAll(AdminChecks.parameters(parameters));
        return AdminChecks.validOrFailure(faults, parameters);
    }

    private static Optional<Failure> firstFault(Either<Failure, ?> one, Either<Failure, ?> two) {
        if (one.isLeft()) {
            return Optional.of(one.getLeft());
        }
        return two.isLeft() ? Optional.of(two.getLeft()) : Optional.empty();
    }
}
