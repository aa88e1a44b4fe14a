package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.Bill;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Tests {@link BillReader}. */
class BillReaderTest {
    private final LedgerFleet mFleet = new LedgerFleet(5, LedgerFleet.settings(2));
    private final VmId mA = mFleet.start("a", 1);
    private final VmId mB = mFleet.start("b", 1);

    @Test
    void repeatedBills_areListedOnce_pageByPage() {
        mFleet.bill(mA, "r1", 10);
        mFleet.mTime.runFor(2_000);
        mFleet.bill(mB, "r1", 12);
        mFleet.bill(mA, "r2", 20);
        mFleet.mTime.runFor(2_000);

        BillPage first = read(organisation(), Optional.empty(), 1).get();
        BillPage second = read(organisation(), first.next(), 1).get();

        assertThat(requests(first)).containsExactly("r1");
        assertThat(first.bills().get(0).tokens()).isEqualTo(12);
        assertThat(requests(second)).containsExactly("r2");
        assertThat(second.next()).isEmpty();
    }

    @Test
    void raisedBill_isListedOnce_alsoIfRaisedAfterBillsOfLaterPages() {
        mFleet.bill(mA, "r1", 10);
        mFleet.mTime.runFor(2_000);
        mFleet.bill(mA, "r2", 20);
        mFleet.mTime.runFor(2_000);
        mFleet.bill(mB, "r1", 12);
        mFleet.bill(mB, "r2", 15);
        mFleet.mTime.runFor(2_000);

        BillPage whole = read(organisation(), Optional.empty(), 10).get();
        BillPage first = read(organisation(), Optional.empty(), 1).get();
        BillPage second = read(organisation(), first.next(), 1).get();

        assertThat(requests(whole)).containsExactly("r1", "r2");
        assertThat(whole.bills()).extracting(Bill::tokens).containsExactly(12L, 20L);
        assertThat(requests(second)).containsExactly("r2");
        assertThat(second.next()).isEmpty();
    }

    @Test
    void bills_ofAnotherOrganisation_areNotListed() {
        mFleet.bill(mA, "r1", 10);
        mFleet.mTime.runFor(2_000);

        assertThat(read(new OrganisationId("nobody"), Optional.empty(), 10).get().bills())
                .isEmpty();
    }

    @Test
    void platformThatDoesNotAnswer_failsTheRead() {
        mFleet.mPlatform.setOutage(true);

        assertThat(read(organisation(), Optional.empty(), 1).getLeft().kind())
                .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
    }

    private static OrganisationId organisation() {
        return LedgerFleet.key("r1", "body").organisation();
    }

    private static List<String> requests(BillPage page) {
        return page.bills().stream().map(b -> b.key().request().value()).toList();
    }

    private Either<Failure, BillPage> read(
            OrganisationId organisation, Optional<String> after, int limit) {
        AtomicReference<Either<Failure, BillPage>> result = new AtomicReference<>();
        new BillReader(
                        mFleet.mPlatform.connect(mA),
                        LedgerFleet.settings(2),
                        organisation,
                        after,
                        limit)
                .run(mFleet.mTime.nowMs(), (atMs, r) -> result.set(r));
        mFleet.mTime.runFor(60_000);
        return result.get();
    }
}
