package org.tanagerhinge.core.relay;

/**
 * Describes the demand of one node's callers for the engines of a service, split into requests with short and with
 * long prompts.
 *
 * @param shortInFlight short requests in flight
 * @param shortTokensPerSecond tokens to prefill for short requests, per second
 * @param longTokensPerSecond tokens to prefill for long requests, per second
 */
public record LaneDemand(double shortInFlight, double shortTokensPerSecond, double longTokensPerSecond) {
    /** No demand. */
    public static final LaneDemand NONE = new LaneDemand(0, 0, 0);

    /** Returns the sum of two demands. */
    public LaneDemand plus(LaneDemand other) {
        return new LaneDemand(
                shortInFlight + other.shortInFlight,
                shortTokensPerSecond + other.shortTokensPerSecond,
                longTokensPerSecond + other.longTokensPerSecond);
    }
}
