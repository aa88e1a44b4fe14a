package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the peers that this VM asks for tokens, and their order.
 *
 * <p>Stateless; called under the organisation's lock.
 */
final class AskCandidates {
    private AskCandidates() {}

    /**
     * Returns the peers to ask, in order. Only VMs believed to be live are returned, without this
     * VM.
     *
     * <p>The organisation's homes come first or, if this VM draws from the platform itself, the VMs
     * to which it has moved tokens. Holders follow by descending number of free tokens in the
     * record, then all other live VMs.
     *
     * @param direct whether this VM draws from the platform itself
     * @param record the last record of the organisation, if any is known
     */
    static List<VmId> of(
            BudgetContext context,
            BudgetAccount account,
            boolean direct,
            Optional<LedgerRecord> record) {
        List<VmId> live = context.homes().live();
        Set<VmId> order = new LinkedHashSet<>();
        order.addAll(
                direct
                        ? account.moves().receivers()
                        : context.homes().homes(account.key().organisation()));
        if (record.isPresent()) {
            record.get().budget(account.key().budget()).holders().entrySet().stream()
                    .filter(e -> e.getValue().free() > 0)
                    .sorted((a, b) -> Long.compare(b.getValue().free(), a.getValue().free()))
                    .forEach(e -> order.add(e.getKey().vm()));
        }
        order.addAll(live);
        order.remove(context.self());
        order.retainAll(live);
        return List.copyOf(order);
    }
}
