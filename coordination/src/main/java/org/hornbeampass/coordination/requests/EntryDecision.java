package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.CallOutcome;

import java.util.Objects;
import java.util.Optional;

/**
 * The decision of the log on one entry.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the decision
 * @param repeats how many further bills of the same request have been decided so far
 * @param charged how many tokens the attempt of the bill has to settle; 0 for other entries
 * @param holder the VM whose attempt holds the claim, if it is another attempt
 * @param outcome the recorded outcome, if there is one
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntryDecision(
        Kind kind,
        int repeats,
        long charged,
        Optional<VmId> holder,
        Optional<CallOutcome> outcome) {
    /** The kinds of decisions. */
    public enum Kind {
        /** The first bill of its request; it is charged. */
        BILLED,
        /** The bill of the request is raised to the amount of this one. */
        RAISED,
        /** The request was already billed by another attempt with the same or a larger amount. */
        DUPLICATE,
        /** The bill arrived too late to be distinguished from a repeated one; it is not charged. */
        LATE,
        /** The claim is granted, and no other attempt is ever granted it. */
        GRANTED,
        /** Another attempt holds the claim. */
        HELD,
        /** The call's outcome is recorded. */
        RECORDED,
        /** The id was claimed before for a request with another body. */
        KEY_REUSED,
        /** The id or the claim is too old. */
        EXPIRED,
        /** The claim was withdrawn before; it is never granted. */
        WITHDRAWN,
        /** The shard stores as many ids without a timestamp as it may. */
        FULL,
        /** The withdrawal or outcome is recorded. */
        DONE,
        /** The outcome comes from an attempt that does not hold the claim; nothing was changed. */
        NOT_HELD
    }

    /** Checks that no component is null. */
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
