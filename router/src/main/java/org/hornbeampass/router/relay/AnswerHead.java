package org.hornbeampass.router.relay;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What the head of an upstream's answer says of the request, and of the upstream itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome what became of the request
 * @param hasSeal whether it bears what proves that the upstream itself made it
 * @param leaving whether the upstream says that it leaves
 * @param pauseMs for how long the upstream wants nothing from this VM, in milliseconds, where it
 *     says so
 * @param limitPerSecond how many requests the upstream takes from all VMs together, in a second;
 *     empty where it names no limit
 */
public record AnswerHead(
        AnswerOutcome outcome,
        boolean hasSeal,
        boolean leaving,
        OptionalLong pauseMs,
        OptionalDouble limitPerSecond) {}
