package org.hornbeampass.standin.service;

/** The kinds of fault of the service stand-in; the amount's unit stands with each. */
public enum ServiceFault {
    /** The connection is closed without an answer or an effect; the amount is not used. */
    REFUSE,
    /** The call is answered 500 without an effect; the amount is not used. */
    ERROR_BEFORE_EFFECT,
    /** The call takes effect and is answered later by the amount, in milliseconds. */
    SLOW,
    /** A write takes effect, and its connection is closed without an answer. */
    LOSE_REPLY
}
