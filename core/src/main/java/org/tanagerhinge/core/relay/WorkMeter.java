package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;

/** Measures the work by workspace that one node's callers ask for at one service and rank, with decaying rates. */
final class WorkMeter {
    /**
     * Time constant of the rates. With 1.2 s, 2 of 400 random runs served more than 5% less work than without shares,
     * because of the noise of a few requests per second; with 2 s, none did.
     */
    private static final double DECAY_MILLIS = 2_000;
    /** Time between two updates of the decay; an update visits all workspaces. */
    private static final long UPDATE_MILLIS = 250;
    /** A workspace is forgotten when its demand falls to this fraction of its latest request: after 9 s. */
    private static final double FORGET_FRACTION = 0.01;
    /** Largest number of workspaces measured apart; further ones are measured together. */
    static final int MAX_WORKSPACES = 10_000;
    /** Key under which the workspaces beyond the limit are measured. */
    private static final int OTHERS = 0;

    /** Quantile of the work of a request from which it counts as large: the largest tenth and the fifth below it. */
    private static final double LARGE_QUANTILE = 0.7;
    /** Step of the quantile estimate for each request. */
    private static final double QUANTILE_STEP = 0.05;

    private final Map<Integer, Work> workByWorkspace = new HashMap<>();
    private final Work requests = new Work();
    private long updatedAtMillis;
    private double largeWork;

    private WorkMeter(long nowMillis) {
        updatedAtMillis = nowMillis;
    }

    static WorkMeter create(long nowMillis) {
        return new WorkMeter(nowMillis);
    }

    private static final class Work {
        private double asked;
        private double admitted;
        private double latest;

        private void decay(double factor) {
            asked *= factor;
            admitted *= factor;
        }

        private WorkRate rate() {
            return new WorkRate(asked * 1_000 / DECAY_MILLIS, admitted * 1_000 / DECAY_MILLIS);
        }
    }

    void recordAsked(int workspace, double work, long nowMillis) {
        update(nowMillis);
        Work entry = entry(workspace);
        entry.asked += work;
        entry.latest = work;
        requests.asked++;
        largeWork = largeWork == 0
                ? work
                : largeWork * (1 + QUANTILE_STEP * (work > largeWork ? LARGE_QUANTILE : LARGE_QUANTILE - 1));
    }

    void recordAdmitted(int workspace, double work, long nowMillis) {
        update(nowMillis);
        entry(workspace).admitted += work;
        requests.admitted++;
    }

    /** Takes back admitted work that the server rejected. */
    void recordReturned(int workspace, double work, long nowMillis) {
        update(nowMillis);
        Work entry = entry(workspace);
        entry.admitted = Math.max(0, entry.admitted - work);
        requests.admitted = Math.max(0, requests.admitted - 1);
    }

    private Work entry(int workspace) {
        Work existing = workByWorkspace.get(workspace);
        if (existing != null) {
            return existing;
        }
        int key = workByWorkspace.size() < MAX_WORKSPACES ? workspace : OTHERS;
        return workByWorkspace.computeIfAbsent(key, added -> new Work());
    }

    private void update(long nowMillis) {
        if (nowMillis - updatedAtMillis < UPDATE_MILLIS) {
            return;
        }
        double factor = Math.exp(-(nowMillis - updatedAtMillis) / DECAY_MILLIS);
        updatedAtMillis = nowMillis;
        requests.decay(factor);
        workByWorkspace.values().forEach(work -> work.decay(factor));
        workByWorkspace.values().removeIf(work -> work.asked <= FORGET_FRACTION * work.latest);
    }

    /** Returns the work by workspace. */
    Map<Integer, WorkRate> rates(long nowMillis) {
        update(nowMillis);
        Map<Integer, WorkRate> rates = new HashMap<>();
        workByWorkspace.forEach((workspace, work) -> rates.put(workspace, work.rate()));
        return rates;
    }

    /** Returns the rate of requests of all workspaces. */
    WorkRate requests(long nowMillis) {
        update(nowMillis);
        return requests.rate();
    }

    /** Returns whether the work of a request is among the largest three tenths. */
    boolean large(double work) {
        return work > largeWork;
    }
}
