package org.tanagerhinge.core.relay;

/**
 * What the operators tell of a service.
 *
 * @param maxConnections connections that one backend server accepts from all callers combined
 * @param slots requests that a model engine runs at once; 0 for a plain service
 * @param memoryTokens tokens that a model engine keeps in memory; 0 for a plain service
 */
public record ServiceTerms(String name, int maxConnections, int slots, long memoryTokens) {
    /** Returns whether the service's backend servers are model engines. */
    public boolean engines() {
        return slots > 0;
    }
}
