package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.budget.HolderRecord;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Deliberate violations of single rules of the budgets, which the invariant checks must detect.
 *
 * <p>Immutable.
 */
enum BudgetMutant {
    /** No rule is broken. */
    NONE,
    /** Tokens that a closed holder did not report as spent are returned to the budget. */
    CLOSED_GRANT_IS_REUSED {
        @Override
        BudgetRecord rewrite(BudgetRecord before, BudgetRecord after) {
            if (after.closed().drawn() == before.closed().drawn()) {
                return after;
            }
            HolderRecord closed = after.closed();
            return new BudgetRecord(
                    after.paid(),
                    after.target(),
                    after.holders(),
                    new HolderRecord(
                            closed.granted(),
                            closed.granted() - closed.spent(),
                            closed.spent(),
                            closed.movedIn(),
                            closed.movedOut(),
                            0,
                            0,
                            0),
                    after.openTopUps(),
                    after.changes());
        }
    },
    /** A budget is lowered below the tokens drawn. */
    LOWERED_BELOW_GRANTED {
        @Override
        BudgetRecord rewrite(BudgetRecord before, BudgetRecord after) {
            return new BudgetRecord(
                    after.target().orElse(after.paid()),
                    after.target(),
                    after.holders(),
                    after.closed(),
                    after.openTopUps(),
                    after.changes());
        }
    },
    /** An update takes effect whatever version it expects. */
    VERSION_IS_IGNORED {
        @Override
        PlatformCall rewrite(PlatformCall call, Optional<PlatformReply.StoredObject> stored) {
            if (call instanceof PlatformCall.Update update && stored.isPresent()) {
                return new PlatformCall.Update(
                        update.key(), update.value(), stored.get().version());
            }
            return call;
        }
    },
    /** A top-up's object, which keeps its id, is deleted. */
    TOP_UP_ID_IS_FORGOTTEN {
        @Override
        PlatformCall rewrite(PlatformCall call, Optional<PlatformReply.StoredObject> stored) {
            if (call instanceof PlatformCall.Update update && update.key().startsWith("topups/")) {
                return new PlatformCall.Delete(update.key(), update.expectedVersion());
            }
            return call;
        }
    },
    /** A move that is sent again is added again. */
    MOVE_IS_ADDED_TWICE {
        @Override
        PeerMessage rewriteMessage(PeerMessage message, long order) {
            if (!(message instanceof MoveGrant move)) {
                return message;
            }
            return new MoveGrant(
                    move.organisation(),
                    move.budget(),
                    move.giver(),
                    move.receiver(),
                    order,
                    move.charge(),
                    move.free(),
                    move.spent());
        }
    },
    /** Spending is not written to the record. */
    SPENDING_IS_NOT_REPORTED {
        @Override
        BudgetRecord rewrite(BudgetRecord before, BudgetRecord after) {
            Map<HolderId, HolderRecord> holders = new TreeMap<>();
            after.holders().forEach((id, h) -> holders.put(id, unspent(h)));
            return after.withHolders(holders, unspent(after.closed()));
        }

        private HolderRecord unspent(HolderRecord h) {
            return new HolderRecord(
                    h.granted(),
                    h.returned(),
                    0,
                    h.movedIn(),
                    h.movedOut(),
                    h.reserved(),
                    h.free(),
                    h.lost());
        }
    },
    /** The ledgers are never ticked. */
    TICKS_STOP {
        @Override
        boolean ticks() {
            return false;
        }
    },
    /** The record counts all paid tokens as settled, so that requests are refused as exhausted. */
    UNSPENT_IS_SHOWN_AS_SETTLED {
        @Override
        BudgetRecord rewrite(BudgetRecord before, BudgetRecord after) {
            HolderRecord closed = after.closed();
            return after.withHolders(
                    after.holders(),
                    new HolderRecord(
                            closed.granted(),
                            closed.returned(),
                            after.paid(),
                            closed.movedIn(),
                            closed.movedOut(),
                            0,
                            0,
                            0));
        }
    };

    /** Returns the record to write instead of {@code after}. */
    BudgetRecord rewrite(BudgetRecord before, BudgetRecord after) {
        return after;
    }

    /** Returns the call to submit instead of {@code call}. */
    PlatformCall rewrite(PlatformCall call, Optional<PlatformReply.StoredObject> stored) {
        return call;
    }

    /** Returns the message to deliver instead of {@code message}. */
    PeerMessage rewriteMessage(PeerMessage message, long order) {
        return message;
    }

    /** Returns whether the ledgers are ticked. */
    boolean ticks() {
        return true;
    }

    /** Submits a call with the rule broken. */
    void submit(
            MemoryPlatform store,
            long nowMs,
            PlatformCall call,
            BiConsumer<Long, PlatformReply> done) {
        if (this == NONE || !(call instanceof PlatformCall.Update update)) {
            store.submit(nowMs, call, done);
            return;
        }
        store.submit(
                nowMs,
                new PlatformCall.Get(update.key()),
                (at, reply) -> {
                    Optional<PlatformReply.StoredObject> stored =
                            reply instanceof PlatformReply.Found found
                                    ? Optional.of(found.object())
                                    : Optional.empty();
                    store.submit(nowMs, rewrite(withRecord(update, stored), stored), done);
                });
    }

    private PlatformCall.Update withRecord(
            PlatformCall.Update update, Optional<PlatformReply.StoredObject> stored) {
        if (!update.key().startsWith("budgets/") || stored.isEmpty()) {
            return update;
        }
        LedgerRecord before = Json.decode(stored.get().value(), LedgerRecord.class).get();
        LedgerRecord after = Json.decode(update.value(), LedgerRecord.class).get();
        LedgerRecord next = after;
        for (var each : after.budgets().entrySet()) {
            next = next.with(each.getKey(), rewrite(before.budget(each.getKey()), each.getValue()));
        }
        return new PlatformCall.Update(update.key(), Json.encode(next), update.expectedVersion());
    }
}
