package org.hornbeampass.standin.engine;

import org.hornbeampass.standin.admin.Listen;

import java.util.List;
import java.util.Optional;

/**
 * The settings of an engine stand-in.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param listen where it listens
 * @param models the models that are ready from the start
 * @param timing how long its work takes
 * @param news how late its news of itself is
 * @param weights where it fetches what it loads
 * @param behaviour how it answers and takes orders
 */
public record EngineSettings(
        Listen listen,
        List<String> models,
        EngineTiming timing,
        EngineNews news,
        Weights weights,
        Behaviour behaviour) {
    /** Copies the list. */
    public EngineSettings {
        models = List.copyOf(models);
    }

    /**
     * Where an engine fetches what it loads.
     *
     * @param store the weight store's base URI, such as {@code http://127.0.0.1:9000}; empty to
     *     take a fixed time instead
     * @param key the bearer key of the store
     * @param loadMs how long a load takes without a store, in milliseconds
     */
    public record Weights(Optional<String> store, String key, long loadMs) {}

    /**
     * How an engine answers and takes orders.
     *
     * @param meanAnswerTokens the mean length of an answer without a limit
     * @param role the first role
     * @param checksFencing whether it refuses orders with an old fencing number
     * @param seed the seed of its faults
     */
    public record Behaviour(int meanAnswerTokens, String role, boolean checksFencing, long seed) {}

    /** Returns an engine on the loopback interface that serves a model. */
    public static EngineSettings defaults(String model) {
        return new EngineSettings(
                Listen.loopback(),
                List.of(model),
                EngineTiming.defaults(),
                EngineNews.defaults(),
                new Weights(Optional.empty(), "", 1_000),
                new Behaviour(100, "both", true, 1));
    }

    /** Returns these settings with another timing. */
    public EngineSettings withTiming(EngineTiming other) {
        return new EngineSettings(listen, models, other, news, weights, behaviour);
    }

    /** Returns these settings with other news. */
    public EngineSettings withNews(EngineNews other) {
        return new EngineSettings(listen, models, timing, other, weights, behaviour);
    }

    /** Returns these settings with another source of weights. */
    public EngineSettings withWeights(Weights other) {
        return new EngineSettings(listen, models, timing, news, other, behaviour);
    }

    /** Returns these settings with another behaviour. */
    public EngineSettings withBehaviour(Behaviour other) {
        return new EngineSettings(listen, models, timing, news, weights, other);
    }

    /** Returns these settings with another place to listen. */
    public EngineSettings withListen(Listen other) {
        return new EngineSettings(other, models, timing, news, weights, behaviour);
    }
}
