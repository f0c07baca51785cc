package org.tanagerhinge.core.relay;

/**
 * What the operators tell of a service.
 *
 * @param maxConnections connections that one backend server accepts from all callers combined
 * @param slots requests that a model engine runs at once; 0 for a plain service
 * @param memoryTokens tokens that a model engine keeps in memory; 0 for a plain service
 * @param tokenBytes what one token takes of that memory, in bytes; 0 if not told
 * @param linkBitsPerMilli speed of an engine's link to other engines, in bits a millisecond; 0 if not told
 */
public record ServiceConfig(
        String name,
        int maxConnections,
        int slots,
        long cacheCapacityTokens,
        long bytesPerToken,
        double linkBitsPerMilli) {
    /** Returns terms of a service whose engines' links aren't told. */
    public static ServiceConfig of(String name, int maxConnections, int slots, long cacheCapacityTokens) {
        return new ServiceConfig(name, maxConnections, slots, cacheCapacityTokens, 0, 0);
    }

    /** Returns the time that one engine takes to fetch tokens from another, in milliseconds; infinite if links aren't told. */
    public double fetchMillis(int tokens) {
        return bytesPerToken <= 0 || linkBitsPerMilli <= 0
                ? Double.POSITIVE_INFINITY
                : tokens * 8.0 * bytesPerToken / linkBitsPerMilli;
    }

    /** Returns whether the service's backend servers are model engines. */
    public boolean hasModelEngines() {
        return slots > 0;
    }
}
