package org.hornbeampass.experiment.caller;

import java.util.Optional;

/**
 * What a caller had in hand after one try of a request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param request the request
 * @param router the address that was tried
 * @param status the HTTP status; 0 where none arrived
 * @param errorCode the error's code, in the head's answer or in the stream
 * @param runState whether it ran, as the error said
 * @param retryable whether the error invited a retry
 * @param retryAfterMs when the error invited the retry, in milliseconds; 0 where it did not say
 * @param text the answer's text as far as it arrived
 * @param usage the tokens that the answer said were used
 * @param whole whether the answer ended properly
 * @param firstTokenMs from the time it should have been sent to its first token; -1 without one
 * @param totalMs from the time it should have been sent to the end of the try
 * @param sent whether any byte of the request may have reached the router
 */
public record ChatReceipt(
        CallerRequest request,
        String router,
        int status,
        Optional<String> errorCode,
        String runState,
        boolean retryable,
        long retryAfterMs,
        String text,
        Optional<Usage> usage,
        boolean whole,
        double firstTokenMs,
        double totalMs,
        boolean sent) {
    /**
     * Tokens used, as an answer says.
     *
     * @param prompt of the prompt
     * @param completion generated
     */
    public record Usage(long prompt, long completion) {
        /** Returns all that is billed. */
        public long total() {
            return prompt + completion;
        }
    }

    /** Returns whether the answer arrived whole and without an error. */
    public boolean served() {
        return status / 100 == 2 && whole && errorCode.isEmpty();
    }
}
