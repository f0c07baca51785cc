package org.tanagerhinge.core.attempt;

/**
 * Limits the attempts of one request.
 *
 * @param idempotent whether the request may run more than once without harm
 * @param maxRuns maximum number of backend servers that it may run on
 * @param maxRefusals number of backend servers that may refuse it without running it before it is abandoned
 * @param maxSends maximum number of backend servers that it may be sent to in total, refusals included: a refusal costs
 *     little, but not nothing
 */
public record AttemptLimits(boolean idempotent, int maxRuns, int maxRefusals, int maxSends) {}
