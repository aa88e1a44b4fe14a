package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.caller.ChatReceipt;

import java.util.Optional;

/**
 * One try of a request as its caller saw it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param endedAtMs when it ended, in milliseconds since 1970
 * @param receipt what the caller had in hand
 */
public record SeenTry(long endedAtMs, ChatReceipt receipt) {
    private static final String NOT_RUN = "not_run";

    /** Returns whether the answer said that the request did not run, or nothing was sent. */
    public boolean saidNotRun() {
        return !receipt.sent() || NOT_RUN.equals(receipt.runState());
    }

    /** Returns the error's code; empty where the answer arrived whole. */
    public Optional<String> errorCode() {
        return receipt.errorCode();
    }

    /** Returns whether the router's answer was cut, or never came though the request was sent. */
    public boolean cut() {
        return receipt.sent() && !receipt.served() && receipt.runState().isEmpty();
    }
}
