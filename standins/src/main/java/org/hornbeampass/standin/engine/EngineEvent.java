package org.hornbeampass.standin.engine;

/**
 * What a step of the engine's model brought about.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface EngineEvent {
    /** Returns the job. */
    EngineJob job();

    /** Returns when it came about, in milliseconds. */
    long atMs();

    /**
     * One token was generated.
     *
     * @param job the job
     * @param atMs when, in milliseconds
     * @param offset the token's offset in the whole answer
     */
    record Token(EngineJob job, long atMs, int offset) implements EngineEvent {}

    /**
     * The answer is whole; follows its last token.
     *
     * @param job the job
     * @param atMs when, in milliseconds
     */
    record Finished(EngineJob job, long atMs) implements EngineEvent {}
}
