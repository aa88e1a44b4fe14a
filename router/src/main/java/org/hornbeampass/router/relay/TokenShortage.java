package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.escrow.EscrowBook;

/**
 * Explains why a request was refused for lack of tokens.
 *
 * <p>Confined to one event loop.
 *
 * @param budgets the budgets of this VM
 * @param organisation the name of the organisation that pays
 * @param tokens the tokens that the request needs
 */
record TokenShortage(EscrowBook budgets, String organisation, long tokens) {
    /**
     * When to retry while the store is unreachable, in milliseconds; a caller that retries during
     * the same outage is refused again.
     */
    private static final long STORE_UNREACHABLE_RETRY_MS = 2_500;

    /** When to retry after the next exchange with the store, in milliseconds. */
    private static final long STORE_EXCHANGE_RETRY_MS = 200;

    /**
     * When to retry where the store is reachable, but neither it nor other VMs have the tokens, in
     * milliseconds: once requests in flight have ended and returned what they did not use.
     */
    private static final long TOKENS_IN_USE_RETRY_MS = 1_500;

    /** Why a VM lacks the tokens for a request. */
    enum Reason {
        /** The store is unreachable, and so are the tokens that it holds. */
        STORE_UNREACHABLE(STORE_UNREACHABLE_RETRY_MS),

        /** The store may hold more tokens. */
        STORE_MAY_HAVE_MORE(STORE_EXCHANGE_RETRY_MS),

        /** Requests in flight have reserved the remaining tokens. */
        TOKENS_IN_USE(TOKENS_IN_USE_RETRY_MS);

        private final long mRetryMs;

        Reason(long retryMs) {
            mRetryMs = retryMs;
        }

        /** Returns after how long the caller should retry, in milliseconds. */
        long retryMs() {
            return mRetryMs;
        }
    }

    Reason reason(long nowMs) {
        if (budgets.isStoreUnreachable(nowMs, organisation)) {
            return Reason.STORE_UNREACHABLE;
        }
        return budgets.mayObtainTokens(nowMs, organisation, tokens)
                ? Reason.STORE_MAY_HAVE_MORE
                : Reason.TOKENS_IN_USE;
    }

    /** Returns the state of the budget that led to the refusal, as fields of a log line. */
    LogFields fields(long nowMs) {
        EscrowBook.AdmissionState admission = budgets.admissionState(nowMs, organisation);
        return new LogFields()
                .add("wanted", tokens)
                .add("free", admission.free())
                .add("unallocated", admission.unallocated())
                .add("unspent", admission.unspent())
                .add("written_off", admission.writtenOff())
                .add("heard_ago_ms", admission.storeReplyAgeMs().orElse(-1))
                .add("known_ago_ms", admission.knowledgeAgeMs().orElse(-1))
                .add("store_lost", admission.storeUnreachable());
    }
}
