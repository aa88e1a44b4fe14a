package org.hornbeampass.experiment.verdict;

/**
 * One breach of a rule.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rule the rule's name
 * @param subject what breaks it, such as a request or a budget
 * @param detail what was seen, and what should have been
 */
public record Finding(String rule, String subject, String detail) {}
