package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.cli.client.AdminAnswer;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.coordination.slo.BurnWindow;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reports how fast service-level objectives burn, over all servers that are given.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "burn",
        description = {
            "Shows burn rates of service-level objectives, what is left of their error budgets,"
                    + " and",
            "what burned them. Asks every --server that is given and adds their counts up."
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl burn --server http://10.0.0.1:9090 --server http://10.0.0.2:9090",
            "  hornbeamctl burn --organisation flight",
            "  hornbeamctl burn --html burn.html"
        })
public final class BurnCommand extends AdminCommand {
    @Option(
            names = "--organisation",
            paramLabel = "ID",
            description = "Only this organisation. Default: all together, and each.")
    private String mOrganisation;

    @Option(names = "--html", paramLabel = "FILE", description = "Also write a page with plots.")
    private Path mHtml;

    @Option(
            names = "--fail-on-alert",
            description = "Exit with code 11 while any alert is on, for use in scripts.")
    private boolean mFailOnAlert;

    @Override
    protected Either<Failure, Integer> run(Session session) {
        Map<VmId, SloView> views = new LinkedHashMap<>();
        Optional<Failure> last = Optional.empty();
        for (String server : session.caller().servers()) {
            session.note("asking " + server);
            Either<Failure, AdminAnswer<SloView>> answer =
                    session.caller()
                            .only(server)
                            .call(AdminCall.get(AdminPaths.SLO), SloView.class);
            answer.peek(a -> views.put(a.value().vm(), a.value()));
            last = answer.isLeft() ? Optional.of(answer.getLeft()) : last;
        }
        if (views.isEmpty()) {
            return Either.left(last.orElseThrow());
        }
        noteWhatIsMissing(session, views);
        return report(session, views);
    }

    private Either<Failure, Integer> report(Session session, Map<VmId, SloView> views) {
        BurnReport report =
                BurnReport.merged(views.values().stream().map(SloView::report).toList());
        List<String> names = views.keySet().stream().map(VmId::name).sorted().toList();
        BurnSummary summary = BurnSummary.of(names, report, Optional.ofNullable(mOrganisation));
        if (mHtml != null) {
            try {
                long nowMs = views.values().iterator().next().nowMs();
                Files.writeString(mHtml, new BurnPage(summary, report, nowMs).html());
                session.note("wrote " + mHtml);
            } catch (IOException e) {
                return Either.left(
                        Failure.of(
                                ErrorKind.FIELD_INVALID,
                                mHtml + " can't be written: " + e.getMessage()));
            }
        }
        if (summary.rows().isEmpty()) {
            session.note("no request was counted yet");
        }
        session.print(summary, BurnSummary::table);
        return Either.right(mFailOnAlert && summary.alerting() ? ExitCodes.FINDINGS : ExitCodes.OK);
    }

    private static void noteWhatIsMissing(Session session, Map<VmId, SloView> views) {
        List<String> missing = new ArrayList<>();
        session.call(AdminCall.get(AdminPaths.ROUTERS), RouterList.class)
                .peek(
                        answer ->
                                answer.value().items().stream()
                                        .map(RouterView::vm)
                                        .filter(vm -> !views.containsKey(vm))
                                        .forEach(vm -> missing.add(vm.name())));
        if (!missing.isEmpty()) {
            session.note(
                    "not counted, since no --server names them: " + String.join(", ", missing));
        }
        long nowMs = views.values().iterator().next().nowMs();
        long sinceMs = views.values().stream().mapToLong(v -> v.report().sinceMs()).max().orElse(0);
        if (sinceMs > nowMs - BurnWindow.D3.lengthMs()) {
            session.note(
                    "the youngest router counts since "
                            + Instant.ofEpochMilli(sinceMs)
                            + "; longer windows are not full");
        }
    }
}
