package org.hornbeampass.standin.engine;

/** The kinds of fault of the engine stand-in; the amount's unit stands with each. */
public enum EngineFault {
    /** A completion is answered 500 before it runs; the amount is not used. */
    ERROR,
    /** While set, every step takes the amount times its time. */
    SLOW,
    /** An answer breaks off after the amount of tokens; the run ends. */
    DROP_STREAM,
    /** While set, no step ends; requests are taken and wait. The amount is not used. */
    FREEZE,
    /** A request's connection is closed without an answer or a run; the amount is not used. */
    REFUSE
}
