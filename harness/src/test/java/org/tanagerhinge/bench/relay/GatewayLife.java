package org.tanagerhinge.bench.relay;

/** One life of a gateway process, from its start to its end. */
final class GatewayLife {
    /** Time from SIGTERM until the platform kills the process. */
    static final long GRACE_MILLIS = 8_000;

    private final GatewayProcess process;
    private volatile long termMillis = Long.MAX_VALUE;
    private volatile long termEpochMillis;

    private GatewayLife(GatewayProcess process) {
        this.process = process;
    }

    static GatewayLife of(GatewayProcess process) {
        return new GatewayLife(process);
    }

    /** Sends the first SIGTERM at a time in steady milliseconds, which is now. */
    void terminate(long nowMillis) {
        termMillis = nowMillis;
        termEpochMillis = System.currentTimeMillis();
        process.signal(GatewayProcess.Signal.TERM);
    }

    /** Returns whether SIGTERM was sent. */
    boolean terminated() {
        return termMillis != Long.MAX_VALUE;
    }

    /** Returns the steady time of the first SIGTERM; the largest number if there was none. */
    long termMillis() {
        return termMillis;
    }

    /** Returns the time of the first SIGTERM by the clock of the logs; 0 if there was none. */
    long termEpochMillis() {
        return termEpochMillis;
    }

    /** Returns the steady time of the start. */
    long startedMillis() {
        return process.startedNanos() / 1_000_000;
    }
}
