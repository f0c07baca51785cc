package org.tanagerhinge.core.relay;

/** Limits the size of a caller's requests, in bytes, and its header and idle times, in milliseconds. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits in force until a configuration is received. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
