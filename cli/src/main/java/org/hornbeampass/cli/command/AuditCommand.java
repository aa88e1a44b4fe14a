package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Command;

/**
 * Checks what the platform stores against the rules that must always hold.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "audit",
        description = {
            "Checks bills and budgets, as the platform stores them, against the rules.",
            "Exit code 11 where any is broken."
        },
        footer = {"%nExample:", "  hornbeamctl audit"})
public final class AuditCommand extends AdminCommand {
    @Override
    protected Either<Failure, Integer> run(Session session) {
        session.note("reading all bills and budgets; this may take a while");
        return session.call(AdminCall.get(AdminPaths.AUDIT), AuditView.class)
                .map(
                        answer -> {
                            session.print(answer.value(), AuditCommand::table);
                            return answer.value().breaches().isEmpty()
                                    ? ExitCodes.OK
                                    : ExitCodes.FINDINGS;
                        });
    }

    private static String table(AuditView audit) {
        TextTable checked =
                new TextTable(
                                "ORGANISATIONS",
                                "BUDGETS",
                                "BILLS",
                                "BILLED",
                                "OPEN CLAIMS",
                                "BREACHES")
                        .row(
                                audit.organisations(),
                                audit.budgets(),
                                audit.bills(),
                                audit.billedTokens(),
                                audit.openClaims(),
                                audit.breaches().size());
        if (audit.breaches().isEmpty()) {
            return checked.text();
        }
        TextTable breaches = new TextTable("RULE", "SUBJECT", "DETAIL");
        audit.breaches().forEach(b -> breaches.row(b.rule(), b.subject(), b.detail()));
        return checked.text() + "\n" + breaches.text();
    }
}
