package org.tanagerhinge.core.relay;

/**
 * Tracks the results of this node's requests to a backend server and ejects the server while it fails.
 *
 * <p>A server that fails fast or hangs may still be registered as ready, and least-loaded placement would send it
 * more requests than the others. It is ejected after several consecutive failures or when half of its recent requests
 * failed. The ejection time doubles with each further failure; afterwards the server gets single probe requests until
 * one succeeds.
 */
public final class ServerHealth {
    /** Consecutive failures that eject; single ones occur at healthy servers too (a lost response). */
    private static final int EJECTION_FAILURE_COUNT = 3;
    /** Failure rate that ejects; a healthy service answers up to 14 in 100 requests with an error of its own. */
    private static final double EJECTION_FAILURE_RATE = 0.5;
    /** Weight of the newest result in the failure rate, which covers about the last ten requests. */
    private static final double SMOOTHING = 0.12;
    /** First ejection time: about what a server needs to restart or to be removed. */
    private static final long INITIAL_EJECTION_MILLIS = 1_000;
    /** Largest ejection time, so that a recovered server is found within seconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    private int consecutiveFailures;
    private double failureRate;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private long ejectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean probing;

    private ServerHealth() {}

    static ServerHealth create() {
        return new ServerHealth();
    }

    /** Returns whether regular requests may be sent at a time in milliseconds. */
    public boolean usable(long nowMillis) {
        return nowMillis >= ejectedUntilMillis && !probing;
    }

    /** Returns whether the ejection time is over and a single probe request may be sent. */
    public boolean probeDue(long nowMillis) {
        return ejectedUntilMillis != Long.MIN_VALUE && nowMillis >= ejectedUntilMillis && probing;
    }

    /** Records a probe request; the next one is due after another ejection time. */
    public void recordProbe(long nowMillis) {
        ejectedUntilMillis = nowMillis + ejectionMillis;
    }

    /** Records a response that shows that the server works, whatever its status. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        failureRate *= 1 - SMOOTHING;
        if (probing) {
            probing = false;
            ejectedUntilMillis = Long.MIN_VALUE;
            failureRate = 0;
        }
        ejectionMillis = INITIAL_EJECTION_MILLIS;
    }

    /** Records a request that the server failed: a server error, or a truncated or missing response. */
    public void recordFailure(long nowMillis) {
        consecutiveFailures++;
        failureRate = failureRate * (1 - SMOOTHING) + SMOOTHING;
        if (consecutiveFailures >= EJECTION_FAILURE_COUNT || failureRate >= EJECTION_FAILURE_RATE || probing) {
            eject(nowMillis);
        }
    }

    /** Records a failed connection or a silent server, which ejects it at once. */
    public void recordUnreachable(long nowMillis) {
        consecutiveFailures++;
        eject(nowMillis);
    }

    private void eject(long nowMillis) {
        if (nowMillis < ejectedUntilMillis && !probing) {
            return;
        }
        ejectedUntilMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(MAX_EJECTION_MILLIS, ejectionMillis * 2);
        probing = true;
        consecutiveFailures = 0;
    }
}
