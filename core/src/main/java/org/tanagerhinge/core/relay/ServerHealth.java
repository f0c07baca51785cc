package org.tanagerhinge.core.relay;

/**
 * How a backend server has answered this node's requests of late, and whether it should get ordinary work.
 *
 * <p>Answers the load pattern of servers that fail part of their requests, hang or crash while their registration says
 * that they are fine: least-loaded placement would give such a server more than the others, since it is done so soon. A
 * server that fails several times in a row, or half of its recent requests, is ejected for a time that doubles each time
 * it fails again on its return, and then gets single requests of ordinary traffic until one succeeds.
 */
public final class ServerHealth {
    /** Failures in a row that eject: one is common for a sound server (a lost answer), three are not. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    /** Failure rate that ejects: a sound service answers up to 14 in 100 with an error of its own. */
    private static final double MAX_FAILURE_RATE = 0.5;
    /** Weight of the newest result in the failure rate: the last ten or so requests count. */
    private static final double SMOOTHING = 0.12;
    /** First time out of rotation: about the time in which a restarting server is back or known to be gone. */
    private static final long INITIAL_EJECTION_MILLIS = 1_000;
    /** Longest time out of rotation: a server that is back should be found within seconds. */
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

    /** Returns whether ordinary work may be sent at a time, in milliseconds. */
    public boolean usable(long nowMillis) {
        return nowMillis >= ejectedUntilMillis && !probing;
    }

    /** Returns whether the time out of rotation is over, and a single request may try the server. */
    public boolean probeDue(long nowMillis) {
        return ejectedUntilMillis != Long.MIN_VALUE && nowMillis >= ejectedUntilMillis && probing;
    }

    /** Notes that a single request tries the server; the next try is due after another ejection time. */
    public void recordProbe(long nowMillis) {
        ejectedUntilMillis = nowMillis + ejectionMillis;
    }

    /** Notes an answer of the server, whatever its status was, that shows that it works. */
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

    /** Notes a request that the server failed: an error of its own, a broken or missing answer. */
    public void recordFailure(long nowMillis) {
        consecutiveFailures++;
        failureRate = failureRate * (1 - SMOOTHING) + SMOOTHING;
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || failureRate >= MAX_FAILURE_RATE || probing) {
            eject(nowMillis);
        }
    }

    /** Notes that no connection could be made, or that the server fell silent: it is out at once. */
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
