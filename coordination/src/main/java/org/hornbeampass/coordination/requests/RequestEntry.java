package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.RequestKey;

/**
 * An entry in a shard of the request log.
 *
 * <p>Entries are idempotent: an entry that is applied again gets the same decision as the first
 * time. Immutable; safe for use by any thread.
 */
sealed interface RequestEntry {
    /** Returns the request that the entry concerns. */
    RequestKey key();

    /** Returns the attempt that the entry comes from. */
    AttemptId attempt();

    /**
     * An attempt's bill.
     *
     * @param bill the bill
     */
    record BillEntry(Bill bill) implements RequestEntry {
        @Override
        public RequestKey key() {
            return bill.key();
        }

        @Override
        public AttemptId attempt() {
            return bill.attempt();
        }
    }

    /**
     * An attempt's claim on a call that may not be repeated.
     *
     * @param claim the claim
     */
    record ClaimEntry(Claim claim) implements RequestEntry {
        @Override
        public RequestKey key() {
            return claim.key();
        }

        @Override
        public AttemptId attempt() {
            return claim.attempt();
        }
    }

    /**
     * The withdrawal of a claim whose attempt certainly did not run the call, and never will.
     *
     * @param key the claimed call
     * @param attempt the attempt whose claim is withdrawn
     * @param withdrawnAtMs when it was withdrawn, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record WithdrawEntry(RequestKey key, AttemptId attempt, long withdrawnAtMs)
            implements RequestEntry {}

    /**
     * The outcome of a claimed call.
     *
     * @param outcome the outcome
     */
    record OutcomeEntry(CallOutcome outcome) implements RequestEntry {
        @Override
        public RequestKey key() {
            return outcome.key();
        }

        @Override
        public AttemptId attempt() {
            return outcome.attempt();
        }
    }
}
