package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.CallOutcome;

import java.util.Objects;
import java.util.Optional;

/**
 * What the log decided on one entry.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the decision
 * @param repeats how many further bills of the same request were decided so far
 * @param charged how many tokens the bill's attempt has to settle; 0 for other entries
 * @param holder the VM whose attempt holds the claim, where another one does
 * @param outcome the recorded outcome, where there is one
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntryDecision(
        Kind kind,
        int repeats,
        long charged,
        Optional<VmId> holder,
        Optional<CallOutcome> outcome) {
    /** The decisions. */
    public enum Kind {
        /** The bill stands. */
        BILLED,
        /** The request's bill is raised to this one's amount. */
        RAISED,
        /** Another attempt's bill of the same or a larger amount stands. */
        DUPLICATE,
        /** The bill came so late that it can't be told from a repeated one; it is not charged. */
        LATE,
        /** The claim stands, and no other ever will. */
        GRANTED,
        /** Another attempt holds the claim. */
        HELD,
        /** The call's outcome is recorded. */
        RECORDED,
        /** The id was claimed for another body. */
        KEY_REUSED,
        /** The id or the claim is too old. */
        EXPIRED,
        /** The claim was withdrawn before; it never stands. */
        WITHDRAWN,
        /** The shard remembers as many ids without a time as it may. */
        FULL,
        /** A withdrawal or an outcome was taken in. */
        DONE,
        /** An outcome of an attempt that does not hold the claim; nothing was changed. */
        NOT_HELD
    }

    /** Checks that no part is missing. */
    public EntryDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(outcome, "outcome");
    }

    static EntryDecision of(Kind kind) {
        return new EntryDecision(kind, 0, 0, Optional.empty(), Optional.empty());
    }

    static EntryDecision ofBill(Kind kind, int repeats, long charged) {
        return new EntryDecision(kind, repeats, charged, Optional.empty(), Optional.empty());
    }

    static EntryDecision held(VmId holder) {
        return new EntryDecision(Kind.HELD, 0, 0, Optional.of(holder), Optional.empty());
    }

    static EntryDecision recorded(CallOutcome outcome) {
        return new EntryDecision(Kind.RECORDED, 0, 0, Optional.empty(), Optional.of(outcome));
    }
}
