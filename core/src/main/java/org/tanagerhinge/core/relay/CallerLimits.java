package org.tanagerhinge.core.relay;

/** Bounds on what a caller may send, and on how long it may take or stay idle, in milliseconds. */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds taken until a configuration is there. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
