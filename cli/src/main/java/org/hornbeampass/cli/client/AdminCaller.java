package org.hornbeampass.cli.client;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;

/**
 * Calls the operators' API of some router.
 *
 * <p>Implementations block until the answer or the failure is there; thread-safe.
 */
public interface AdminCaller {
    /**
     * Makes a call.
     *
     * @param call the call
     * @param type the type of the answer
     * @return the answer, or what went wrong and how to mend it
     */
    <T> Either<Failure, AdminAnswer<T>> call(AdminCall call, Class<T> type);

    /** Returns the servers that are called, in their order. */
    java.util.List<String> servers();

    /** Returns a caller of one of the servers alone. */
    AdminCaller only(String server);
}
