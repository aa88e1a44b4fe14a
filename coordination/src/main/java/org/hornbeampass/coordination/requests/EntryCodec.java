package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.coordination.requests.RequestEntry.OutcomeEntry;
import org.hornbeampass.coordination.requests.RequestEntry.WithdrawEntry;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;

import java.util.OptionalLong;

/**
 * Encodes entries as the texts of a log batch, and decodes them: one letter for the kind, then the
 * record as a JSON array.
 *
 * <p>The first text of a batch contains its time. Thread-safe: holds no state.
 */
final class EntryCodec {
    private static final char BILL = 'B';
    private static final char CLAIM = 'C';
    private static final char WITHDRAW = 'W';
    private static final char OUTCOME = 'O';
    private static final char TIME = 'T';

    private EntryCodec() {}

    /** Returns the text of an entry. */
    static String encode(RequestEntry entry) {
        if (entry instanceof BillEntry bill) {
            return BILL + Json.encode(bill.bill());
        }
        if (entry instanceof ClaimEntry claim) {
            return CLAIM + Json.encode(claim.claim());
        }
        if (entry instanceof WithdrawEntry withdraw) {
            return WITHDRAW + Json.encode(withdraw);
        }
        return OUTCOME + Json.encode(((OutcomeEntry) entry).outcome());
    }

    /**
     * Returns the entry of a text, or {@code INTERNAL} if this VM does not know its kind or can't
     * read it.
     */
    static Either<Failure, RequestEntry> decode(String text) {
        char kind = text.isEmpty() ? ' ' : text.charAt(0);
        String record = text.isEmpty() ? "" : text.substring(1);
        return switch (kind) {
            case BILL -> Json.decode(record, Bill.class).map(BillEntry::new);
            case CLAIM -> Json.decode(record, Claim.class).map(ClaimEntry::new);
            case WITHDRAW -> Json.decode(record, WithdrawEntry.class).map(w -> w);
            case OUTCOME -> Json.decode(record, CallOutcome.class).map(OutcomeEntry::new);
            default ->
                    Either.left(
                            Failure.of(ErrorKind.INTERNAL, "unknown kind of entry '" + kind + "'"));
        };
    }

    /** Returns the text that contains the time of a batch. */
    static String encodeTime(long atMs) {
        return TIME + Long.toString(atMs);
    }

    /**
     * Returns the time in the first text of a batch, in milliseconds; empty for the text of an
     * entry.
     */
    static OptionalLong decodeTime(String text) {
        return text.length() > 1 && text.charAt(0) == TIME
                ? OptionalLong.of(Long.parseLong(text.substring(1)))
                : OptionalLong.empty();
    }
}
