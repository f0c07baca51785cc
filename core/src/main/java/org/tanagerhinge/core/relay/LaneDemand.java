package org.tanagerhinge.core.relay;

/**
 * What one node's callers ask of a service's engines, split into requests with short and with long prompts.
 *
 * @param shortRunning short requests in progress
 * @param shortTokens prompt tokens of short requests that have to be read, a second
 * @param longTokens prompt tokens of long requests that have to be read, a second
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
