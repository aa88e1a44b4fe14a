package org.hornbeampass.cli.client;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Arrays;
import java.util.Optional;

/**
 * The body of an error answer, as far as the command line reads it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param error what went wrong
 */
record ErrorBody(Detail error) {
    /** What went wrong: its code from the closed list and a message for people. */
    record Detail(String code, String message) {}

    /** Returns the failure that an error answer carries. */
    static Failure failure(int status, byte[] body, String server) {
        return AdminJson.readAnswer(body, ErrorBody.class)
                .toJavaOptional()
                .filter(b -> b.error() != null && b.error().message() != null)
                .flatMap(b -> kind(b.error().code()).map(k -> Failure.of(k, b.error().message())))
                .orElseGet(
                        () ->
                                Failure.of(
                                        ErrorKind.INTERNAL,
                                        server
                                                + " answered status "
                                                + status
                                                + " without an error of this release; is it a"
                                                + " router's admin listener?"));
    }

    private static Optional<ErrorKind> kind(String code) {
        return Arrays.stream(ErrorKind.values()).filter(k -> k.code().equals(code)).findFirst();
    }
}
