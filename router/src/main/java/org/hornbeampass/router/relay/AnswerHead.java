package org.hornbeampass.router.relay;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The contents of the head of an upstream's answer: the outcome of the request and the upstream's
 * signals about itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome how the upstream handled the request
 * @param hasSeal whether the answer bears the seal of the upstream itself
 * @param leaving whether the upstream announces that it is leaving
 * @param pauseMs for how long the upstream asks this VM to send it nothing, in milliseconds; empty
 *     where it does not ask
 * @param limitPerSecond how many requests per second the upstream accepts from all VMs together;
 *     empty where it states no limit
 * @param maxRejectionsPerS how many rejections in a second the upstream survives; empty where it
 *     does not state that it is brittle
 * @param coldLeftMs how much longer the upstream is in its slow start, in milliseconds; empty where
 *     the answer does not state it
 */
public record AnswerHead(
        AnswerOutcome outcome,
        boolean hasSeal,
        boolean leaving,
        OptionalLong pauseMs,
        OptionalDouble limitPerSecond,
        OptionalDouble maxRejectionsPerS,
        OptionalLong coldLeftMs) {}
