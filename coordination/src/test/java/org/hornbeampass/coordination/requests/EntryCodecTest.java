package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.coordination.requests.RequestEntry.OutcomeEntry;
import org.hornbeampass.coordination.requests.RequestEntry.WithdrawEntry;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.RequestKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import java.util.List;

/** Checks that an entry of each kind is decoded to what was encoded. */
class EntryCodecTest {
    private static final RequestKey KEY = LedgerFleet.key("release \"7\"|%\n", "digest");
    private static final AttemptId ATTEMPT = new AttemptId(new VmId("a", 3), 9);

    @ParameterizedTest
    @MethodSource("entries")
    void entry_is_decoded_unchanged(RequestEntry entry) {
        assertThat(EntryCodec.decode(EntryCodec.encode(entry)).get()).isEqualTo(entry);
    }

    static List<RequestEntry> entries() {
        return List.of(
                new BillEntry(new Bill(KEY, new BudgetId("main"), ATTEMPT, 1, 2, 3)),
                new ClaimEntry(new Claim(KEY, ATTEMPT, 4)),
                new WithdrawEntry(KEY, ATTEMPT, 5),
                new OutcomeEntry(new CallOutcome(KEY, ATTEMPT, 200, "text/plain", "é\"")));
    }
}
