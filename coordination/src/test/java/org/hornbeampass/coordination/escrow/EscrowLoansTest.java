package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Tests that a VM whose store calls are throttled borrows tokens from another VM, and that no token
 * is spent twice.
 */
class EscrowLoansTest {
    private static final long PREPAID = 100_000;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private int mWrites;
    private final EscrowBook mLender = book("lender", this::submitCounted);
    private int mCalls;
    private boolean mStoreThrottled;
    private int mRequests;
    private final List<String> mTransferReceivers = new ArrayList<>();
    private final Platform mBorrowerStore =
            (nowMs, call, done) -> {
                mCalls++;
                if (mStoreThrottled) {
                    done.accept(nowMs, new PlatformReply.Throttled());
                } else {
                    mStore.submit(nowMs, call, done);
                }
            };
    private final EscrowBook mBorrower = book("borrower", mBorrowerStore);
    private final EscrowLoans mLenderLoans =
            new EscrowLoans(mLender, new LenderNetwork(), homes(List.of()), new Random(1));
    private final EscrowLoans mBorrowerLoans =
            new EscrowLoans(
                    mBorrower, new LenderNetwork(), homes(List.of("lender")), new Random(1));

    private void submitCounted(
            long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        mWrites += call.kind() == PlatformCall.Kind.WRITE ? 1 : 0;
        mStore.submit(nowMs, call, done);
    }

    private static PoolHomes homes(List<String> others) {
        return new AllVmsHomes(() -> 2, () -> others);
    }

    private static EscrowBook book(String vm, Platform platform) {
        EscrowBook book =
                new EscrowBook(
                        platform,
                        new EscrowOwner(vm, vm + "-1"),
                        1,
                        homes(List.of()),
                        GrantListener.NONE);
        book.onOrganisations(
                List.of(new PrepaidOrganisation("org", List.of("k"), 0, OptionalLong.of(PREPAID))));
        return book;
    }

    /** A network that passes requests directly to the lender. */
    private final class LenderNetwork implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            mTransferReceivers.add(vmName);
            mLender.onTransfer(0, (TokenTransfer) message);
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mRequests++;
            if (vmName.equals("dead")) {
                Failure lost = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply");
                done.accept(nowMs, Either.left(lost));
                return;
            }
            mLenderLoans.onRequest(
                    nowMs,
                    new VmId("borrower", 1),
                    (LoanRequest) request,
                    reply -> done.accept(nowMs, Either.right(reply)));
        }
    }

    private void run(long fromMs, long toMs) {
        for (long t = fromMs; t < toMs; t += 100) {
            mLender.tick(t);
            mBorrower.tick(t);
            mBorrowerLoans.tick(t);
        }
    }

    @Test
    void transferOfSpentTokens_doesNotEndTheWaitForAnExchange() {
        EscrowAccount account = new EscrowAccount();
        account.addWanted(500, 1_000);
        account.acceptTransfer(0, 0, 300);
        assertThat(account.wanted()).isEqualTo(500);
        account.acceptTransfer(0, 600, 0);
        assertThat(account.wanted()).isZero();
    }

    @Test
    void vmWithThrottledStore_borrowsTokensFromPeer() {
        mStoreThrottled = true;
        run(0, 3_000);
        assertThat(mBorrower.admit(3_000, "org", 1_000)).isEqualTo(Admission.RESERVED);
    }

    @Test
    void lenderAndBorrower_neverSpendMoreThanBudget() {
        mStoreThrottled = true;
        run(0, 10_000);
        long admitted = 0;
        for (long t = 10_000; t < 40_000; t += 100) {
            run(t, t + 100);
            for (EscrowBook book : List.of(mLender, mBorrower)) {
                if (book.admit(t, "org", 700) == Admission.RESERVED) {
                    admitted += 700;
                    book.settle(t, "org", 700, 700);
                }
            }
            mStoreThrottled = t % 8_000 < 4_000;
        }
        assertThat(admitted).isLessThanOrEqualTo(PREPAID).isGreaterThan(PREPAID * 9 / 10);
    }

    @Test
    void vmServedByStore_hasNoShortfall() {
        run(0, 3_000);
        assertThat(mBorrower.shortfalls(3_000)).isEmpty();
    }

    /** Other VMs are the homes of all pools; this VM is not a home. */
    private static final class FixedOtherHomes implements PoolHomes {
        private final List<String> mNames;

        FixedOtherHomes(String... names) {
            mNames = List.of(names);
        }

        @Override
        public boolean isHome(int pool) {
            return false;
        }

        @Override
        public int homeCount(int pool) {
            return 1;
        }

        @Override
        public List<String> otherHomes(int pool) {
            return mNames;
        }

        @Override
        public List<String> otherVms() {
            return mNames;
        }
    }

    /**
     * One request at a VM that has just started, admitted in the same way as by the relay: it waits
     * or is refused.
     */
    private static final class WaitingRequest {
        private final EscrowBook mBook;
        private final EscrowLoans mLoans;
        private final long mTokens;
        private boolean mServed;
        private boolean mRefused;

        WaitingRequest(EscrowBook book, EscrowLoans loans, long tokens) {
            mBook = book;
            mLoans = loans;
            mTokens = tokens;
        }

        void admit(long nowMs) {
            if (mBook.admit(nowMs, "org", mTokens) == Admission.RESERVED) {
                mServed = true;
            } else if (mBook.mayObtainTokens(nowMs, "org", mTokens)) {
                mBook.afterNextExchange(nowMs, "org", () -> admit(nowMs));
            } else if (!mLoans.search(nowMs, "org", mTokens, () -> admit(nowMs))) {
                mRefused = true;
            }
        }
    }

    /**
     * After all VMs had lost power at once, nearly all requests were refused for a second, with the
     * advice to retry after another 1.5 s. A VM that has just started knows no other VM until one
     * of its seeds answers, and is not a home in its first two seconds. With no VM to ask, it
     * refused requests at once, although the store was reachable and had the tokens.
     */
    @Test
    void vmWithoutKnownPeers_takesNeededTokensFromStore() {
        EscrowBook book = nonHomeBook(new FixedOtherHomes());
        EscrowLoans loans =
                new EscrowLoans(book, new LenderNetwork(), new FixedOtherHomes(), new Random(1));
        WaitingRequest request = new WaitingRequest(book, loans, 700);
        WaitingRequest next = new WaitingRequest(book, loans, 300);
        request.admit(0);
        next.admit(0);
        runAlone(book, loans, 0, 500);
        assertThat(request.mServed).isTrue();
        assertThat(next.mServed).isTrue();
        assertThat(book.admissionState(500, "org").unallocated()).isEqualTo(PREPAID - 1_000);
    }

    @Test
    void vmWithoutKnownPeers_refusesTokensStoreLacks_afterFewCalls() {
        EscrowBook book = nonHomeBook(new FixedOtherHomes());
        EscrowLoans loans =
                new EscrowLoans(book, new LenderNetwork(), new FixedOtherHomes(), new Random(1));
        WaitingRequest all = new WaitingRequest(book, loans, PREPAID);
        all.admit(0);
        runAlone(book, loans, 0, 500);
        assertThat(all.mServed).isTrue();
        int calls = mCalls;
        WaitingRequest late = new WaitingRequest(book, loans, 700);
        late.admit(500);
        runAlone(book, loans, 500, 1_500);
        assertThat(late.mRefused).isTrue();
        assertThat(mCalls - calls).isLessThanOrEqualTo(2);
    }

    private static void runAlone(EscrowBook book, EscrowLoans loans, long fromMs, long untilMs) {
        for (long t = fromMs; t < untilMs; t += 10) {
            book.tick(t);
            loans.tick(t);
        }
    }

    private EscrowBook nonHomeBook() {
        return nonHomeBook(new FixedOtherHomes("lender"));
    }

    private EscrowBook nonHomeBook(PoolHomes homes) {
        EscrowBook book =
                new EscrowBook(
                        mBorrowerStore,
                        new EscrowOwner("borrower", "borrower-2"),
                        1,
                        homes,
                        GrantListener.NONE);
        book.onOrganisations(
                List.of(new PrepaidOrganisation("org", List.of("k"), 0, OptionalLong.of(PREPAID))));
        return book;
    }

    @Test
    void newHome_isContactedOnceBeforeAnyRequest() {
        mLender.tick(0);
        EscrowBook book = nonHomeBook();
        EscrowLoans loans =
                new EscrowLoans(
                        book, new LenderNetwork(), new FixedOtherHomes("lender"), new Random(1));
        assertThat(book.admissionState(0, "org").unspent()).isGreaterThan(PREPAID);
        for (long t = 0; t < 3_000; t += 100) {
            loans.tick(t);
        }
        assertThat(mRequests).isEqualTo(1);
        assertThat(book.admissionState(3_000, "org").unspent()).isEqualTo(PREPAID);
    }

    @Test
    void nonHomeVm_returnsUnusedTokens() {
        mLender.tick(0);
        EscrowBook book = nonHomeBook();
        EscrowLoans loans =
                new EscrowLoans(
                        book, new LenderNetwork(), new FixedOtherHomes("lender"), new Random(1));
        long before = mLender.free("org");
        loans.search(0, "org", 1_000, () -> {});
        assertThat(book.admit(0, "org", 1_000)).isEqualTo(Admission.RESERVED);
        assertThat(mLender.free("org")).isEqualTo(before - 1_000);
        book.settle(10, "org", 1_000, 400);
        for (long t = 100; t < 60_000; t += 100) {
            loans.tick(t);
        }
        // An amount that is too small to be transferred back stays.
        assertThat(mLender.free("org")).isBetween(before - 405, before - 400);
        assertThat(mLender.holdings().get("org").spent()).isEqualTo(400);
        assertThat(book.holdings().get("org").spent()).isZero();
    }

    @Test
    void homeWithReceivedTokens_doesNotWriteRepeatedlyToReturnThem() {
        run(0, 3_000);
        mLender.onTransfer(3_000, new TokenTransfer("org", 3 * mLender.free("org"), 0));
        int before = mWrites;
        run(3_000, 20_000);
        // Trying to return tokens that were granted to other VMs caused 34 writes.
        assertThat(mWrites - before).isLessThan(3);
    }

    @Test
    void unresponsiveHome_receivesNoTransfers() {
        mLender.tick(0);
        EscrowBook book = nonHomeBook();
        EscrowLoans loans =
                new EscrowLoans(
                        book,
                        new LenderNetwork(),
                        new FixedOtherHomes("dead", "lender"),
                        new Random(1));
        loans.search(0, "org", 1_000, () -> {});
        assertThat(book.admit(0, "org", 1_000)).isEqualTo(Admission.RESERVED);
        book.settle(10, "org", 1_000, 100);
        for (long t = 100; t < 1_000; t += 100) {
            loans.tick(t);
        }
        assertThat(mTransferReceivers).isNotEmpty().doesNotContain("dead");
    }
}
