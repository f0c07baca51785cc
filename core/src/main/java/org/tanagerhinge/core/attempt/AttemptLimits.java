package org.tanagerhinge.core.attempt;

/**
 * How often one request may be sent.
 *
 * @param idempotent whether it may run more than once without harm
 * @param mostRuns how many backend servers it may run on
 * @param mostRefusals how many backend servers may refuse it unrun before it is given up
 * @param mostSends how many backend servers it may be sent to in all: a refusal costs little, but not nothing
 */
public record AttemptLimits(boolean idempotent, int maxRuns, int maxRefusals, int maxSends) {}
