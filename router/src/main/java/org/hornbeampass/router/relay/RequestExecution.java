package org.hornbeampass.router.relay;

import org.hornbeampass.state.Failure;

/**
 * Has one admitted request run, and answers its caller.
 *
 * <p>Confined to one event loop.
 */
interface RequestExecution {
    /** Starts; called once, before all other methods. */
    void start(long nowMs);

    /** Handles parts of the request's body that have arrived. */
    void onBody(long nowMs);

    /** Ends the request at its deadline. */
    void onDeadline(long nowMs);

    /** Refuses the request while its body is still incomplete, so that nothing can have run it. */
    void refuse(long nowMs, Failure failure);

    /** Ends the request, since the process exits. */
    void onExit(long nowMs);

    /** Handles the loss of the caller. */
    void onCallerGone(long nowMs);

    /** Resumes reading the answer once the caller's connection is writable again. */
    void onCallerWritable();

    /** Returns how the request was sent, as fields of the log line about its end. */
    LogFields summary();
}
