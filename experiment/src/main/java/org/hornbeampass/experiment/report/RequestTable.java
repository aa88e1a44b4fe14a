package org.hornbeampass.experiment.report;

import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.SeenRequest;
import org.hornbeampass.experiment.verdict.SeenTry;

import java.util.Locale;

/**
 * The tries of all requests as a table of comma-separated values, to look single ones up.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class RequestTable {
    private static final String HEAD =
            "organisation,kind,request,try,ended_s,router,status,error,run_state,tokens\n";
    private static final double MS_PER_SECOND = 1_000;

    private RequestTable() {}

    static String text(Outcome outcome) {
        StringBuilder text = new StringBuilder(HEAD);
        for (SeenRequest request : outcome.seen().requests()) {
            for (int i = 0; i < request.tries().size(); i++) {
                text.append(line(outcome, request, i));
            }
        }
        return text.toString();
    }

    private static String line(Outcome outcome, SeenRequest request, int number) {
        SeenTry one = request.tries().get(number);
        ChatReceipt receipt = one.receipt();
        return String.format(
                Locale.ROOT,
                "%s,%s,%s,%d,%.3f,%s,%d,%s,%s,%d%n",
                request.organisation(),
                request.kind().name().toLowerCase(Locale.ROOT),
                request.id(),
                number,
                (one.endedAtMs() - outcome.startMs()) / MS_PER_SECOND,
                receipt.router(),
                receipt.status(),
                receipt.errorCode().orElse(""),
                receipt.runState(),
                receipt.usage().map(ChatReceipt.Usage::total).orElse(0L));
    }
}
