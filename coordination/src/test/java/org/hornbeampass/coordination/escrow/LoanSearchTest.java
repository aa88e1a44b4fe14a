package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Tests that VMs for which the store is unreachable spend the tokens that any of them holds, and
 * none twice.
 */
class LoanSearchTest {
    private static final long PREPAID = 100_000;
    private static final int VMS = 4;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Map<String, EscrowBook> mBooks = new LinkedHashMap<>();
    private final Map<String, EscrowLoans> mLoans = new LinkedHashMap<>();
    private final List<String> mAsked = new ArrayList<>();
    private boolean mStoreUnreachable;
    private boolean mPeersUnreachable;
    private long mNowMs;

    LoanSearchTest() {
        for (int i = 0; i < VMS; i++) {
            add("vm-" + i);
        }
    }

    private void add(String vm) {
        EscrowBook book =
                new EscrowBook(
                        (nowMs, call, done) -> {
                            if (mStoreUnreachable) {
                                done.accept(
                                        nowMs, new PlatformReply.Unavailable("store unreachable"));
                            } else {
                                mStore.submit(nowMs, call, done);
                            }
                        },
                        new EscrowOwner(vm, vm + "-1"),
                        1,
                        homes(vm),
                        GrantListener.NONE);
        book.onOrganisations(
                List.of(new PrepaidOrganisation("org", List.of("k"), 0, OptionalLong.of(PREPAID))));
        mBooks.put(vm, book);
        mLoans.put(
                vm,
                new EscrowLoans(book, new DirectNetwork(), homes(vm), new Random(mBooks.size())));
    }

    private PoolHomes homes(String vm) {
        return new AllVmsHomes(
                () -> VMS, () -> mBooks.keySet().stream().filter(n -> !n.equals(vm)).toList());
    }

    /** A network that passes messages directly to the receiving VM. */
    private final class DirectNetwork implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            mLoans.get(vmName)
                    .onTransfer(mNowMs, new VmId("giver", 1), (TokenTransfer) message, reply -> {});
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mAsked.add(vmName);
            if (mPeersUnreachable) {
                done.accept(nowMs, Either.left(Failure.of(ErrorKind.DEADLINE_EXCEEDED, "lost")));
                return;
            }
            mLoans.get(vmName)
                    .onRequest(
                            nowMs,
                            new VmId("borrower", 1),
                            (LoanRequest) request,
                            reply -> done.accept(nowMs, Either.right(reply)));
        }
    }

    private void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += 100) {
            mBooks.values().forEach(b -> b.tick(mNowMs));
            mLoans.values().forEach(l -> l.tick(mNowMs));
        }
    }

    private boolean isAdmitted(String vm, long tokens) {
        EscrowBook book = mBooks.get(vm);
        if (book.admit(mNowMs, "org", tokens) == Admission.RESERVED) {
            return true;
        }
        boolean[] after = new boolean[1];
        mLoans.get(vm)
                .search(
                        mNowMs,
                        "org",
                        tokens,
                        () -> after[0] = book.admit(mNowMs, "org", tokens) == Admission.RESERVED);
        return after[0];
    }

    private long heldTokens() {
        return mBooks.values().stream().mapToLong(b -> b.free("org")).sum();
    }

    @Test
    void storeUnreachable_requestsAtOneVmSpendTokensOfAllVms() {
        run(3_000);
        mStoreUnreachable = true;
        run(1_000);
        long held = heldTokens();
        long spent = 0;
        while (isAdmitted("vm-0", 300)) {
            spent += 300;
        }
        assertThat(held).isGreaterThan(VMS * 300);
        assertThat(spent).isGreaterThan(held - 300).isLessThanOrEqualTo(held);
    }

    @Test
    void failedSearch_isNotRepeatedForEachRequest() {
        mStoreUnreachable = true;
        run(1_000);
        assertThat(isAdmitted("vm-0", 300)).isFalse();
        mAsked.clear();
        for (int i = 0; i < 20; i++) {
            assertThat(isAdmitted("vm-0", 300)).isFalse();
        }
        assertThat(mAsked).isEmpty();
        mNowMs += 1_000;
        assertThat(isAdmitted("vm-0", 300)).isFalse();
        assertThat(mAsked).hasSize(VMS - 1).doesNotHaveDuplicates();
    }

    @Test
    void unreachablePeers_endSearch() {
        run(3_000);
        mStoreUnreachable = true;
        mPeersUnreachable = true;
        run(1_000);
        assertThat(isAdmitted("vm-0", PREPAID / 2)).isFalse();
        mPeersUnreachable = false;
        mNowMs += 1_000;
        assertThat(heldTokens()).isPositive();
    }

    @Test
    void allVmsWithoutStore_lendNothingAhead() {
        run(3_000);
        mStoreUnreachable = true;
        for (EscrowBook book : mBooks.values()) {
            book.admit(mNowMs, "org", 100);
            book.settle(mNowMs, "org", 100, 100);
        }
        run(6_000);
        Map<String, Long> before = new LinkedHashMap<>();
        mBooks.forEach((vm, book) -> before.put(vm, book.free("org")));
        while (mBooks.get("vm-0").admit(mNowMs, "org", 100) == Admission.RESERVED) {
            mNowMs++;
        }
        mAsked.clear();
        run(5_000);
        assertThat(mBooks.get("vm-1").free("org")).isEqualTo(before.get("vm-1"));
        assertThat(mAsked).isNotEmpty();
    }

    @Test
    void vmShuttingDownWithoutStore_transfersTokensToOthers() {
        run(3_000);
        long held = heldTokens();
        mStoreUnreachable = true;
        mBooks.get("vm-0").startReturningTokens(mNowMs);
        run(2_000);
        assertThat(mBooks.get("vm-0").free("org")).isZero();
        assertThat(heldTokens()).isEqualTo(held);
    }
}
