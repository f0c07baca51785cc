package org.tanagerhinge.core.relay;

import java.util.Optional;

/**
 * Holds the operators' configuration of a service.
 *
 * @param maxConnections connections that one backend server accepts from all callers combined
 * @param slots requests that a model engine runs at once; 0 for a plain service
 * @param cacheCapacityTokens tokens that a model engine's memory holds; 0 for a plain service
 * @param bytesPerToken memory of one token, in bytes; 0 if unknown
 * @param linkBitsPerMilli bandwidth of an engine's link to other engines, in bits per millisecond; 0 if unknown
 * @param healthPath path of the backend servers' health check; empty if unknown
 */
public record ServiceConfig(
        String name,
        int maxConnections,
        int slots,
        long cacheCapacityTokens,
        long bytesPerToken,
        double linkBitsPerMilli,
        Optional<String> healthPath) {
    /** Creates the configuration of a service without a health check. */
    public ServiceConfig(
            String name,
            int maxConnections,
            int slots,
            long cacheCapacityTokens,
            long bytesPerToken,
            double linkBitsPerMilli) {
        this(name, maxConnections, slots, cacheCapacityTokens, bytesPerToken, linkBitsPerMilli, Optional.empty());
    }

    /** Creates the configuration of a service with unknown links between its engines. */
    public static ServiceConfig of(String name, int maxConnections, int slots, long cacheCapacityTokens) {
        return new ServiceConfig(name, maxConnections, slots, cacheCapacityTokens, 0, 0);
    }

    /**
     * Returns the time that an engine needs to fetch tokens from another one, in milliseconds; infinite if the links
     * are unknown.
     */
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
