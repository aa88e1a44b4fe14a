package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.standin.engine.AnswerText;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Each answer is the caller's own and whole, and what arrived of a broken one is its own beginning.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class WholeOwnAnswer implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        List<Finding> findings = new ArrayList<>();
        for (SeenRequest request : seen.requests()) {
            for (SeenTry one : request.tries()) {
                problem(request.kind(), one.receipt())
                        .ifPresent(problem -> findings.add(finding(request.id(), problem)));
            }
        }
        return findings;
    }

    private static Optional<String> problem(RequestKind kind, ChatReceipt receipt) {
        return switch (kind) {
            case CHAT -> receipt.served() ? ofWhole(receipt) : ofPart(receipt);
            case SERVICE_ONCE ->
                    receipt.served() && !receipt.text().contains(receipt.request().tag())
                            ? Optional.of("the record is not the caller's: " + receipt.text())
                            : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<String> ofWhole(ChatReceipt receipt) {
        Optional<ChatReceipt.Usage> usage = receipt.usage();
        if (usage.isEmpty()) {
            return Optional.of("a whole answer told no usage");
        }
        int tokens = Math.toIntExact(usage.get().completion());
        return AnswerText.problem(receipt.request().tag(), tokens, receipt.text());
    }

    private static Optional<String> ofPart(ChatReceipt receipt) {
        String text = receipt.text();
        int tokens = (int) text.chars().filter(c -> c == ' ').count() + 1;
        String own = AnswerText.text(receipt.request().tag(), 0, tokens);
        return own.startsWith(text)
                ? Optional.empty()
                : Optional.of("what arrived of a broken answer is not its own: " + text);
    }
}
