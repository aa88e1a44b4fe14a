package org.hornbeampass.standin.engine;

/** The headers that the engine stand-in reads and writes besides OpenAI's. */
public final class EngineHeaders {
    /** The request's id. */
    public static final String REQUEST_ID = "x-request-id";

    /** The attempt's id, unique to each call to an engine. */
    public static final String ATTEMPT_ID = "x-attempt-id";

    /** The priority from 0 to 9; the greater is run first. */
    public static final String PRIORITY = "x-priority";

    /**
     * The offset of the first token to generate, to go on with a broken answer; the streamed answer
     * confirms it under the same name.
     */
    public static final String RESUME_OFFSET = "x-hornbeampass-resume-offset";

    /** Present, with {@code true}, on answers of an engine that is leaving. */
    public static final String LEAVING = "x-hornbeampass-leaving";

    private EngineHeaders() {}
}
