package org.hornbeampass.cli;

import org.hornbeampass.cli.client.AdminCaller;
import org.hornbeampass.cli.client.Ticker;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What a run of the command line takes from outside of itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param environment environment variables
 * @param ticker the time
 * @param newId makes ids of top-ups and lowerings
 * @param caller calls the API in place of HTTP, for tests
 */
public record Surroundings(
        Map<String, String> environment,
        Ticker ticker,
        Supplier<String> newId,
        Optional<AdminCaller> caller) {
    /** Copies the environment. */
    public Surroundings {
        environment = Map.copyOf(environment);
    }

    /** Returns the process's own surroundings. */
    public static Surroundings ofProcess() {
        return new Surroundings(
                System.getenv(),
                Ticker.system(),
                () -> java.util.UUID.randomUUID().toString(),
                Optional.empty());
    }
}
