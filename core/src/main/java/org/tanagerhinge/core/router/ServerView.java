package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.chart.StateMachine;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.message.AgentLoad;

/** Tracks what a router knows of a backend server: its reported load, and the work sent there since that report. */
final class ServerView {
    private static final StateChart<ServerState, ServerEvent> CHART =
            StateChart.load("server", ServerState.class, ServerEvent.class);
    /** Work sent this shortly before a report may be missing in it. */
    private static final Duration REPORT_LAG = Duration.ofMillis(10);

    private record Submission(Instant sentAt, long costUnits) {}

    private final StateMachine<ServerState, ServerEvent> machine = CHART.newStateMachine();
    private final Deque<Submission> unreportedSubmissions = new ArrayDeque<>();
    private BackendServer server;
    private long incarnation;
    private AgentLoad load = AgentLoad.initial();
    private long unreportedCostUnits;
    private Instant lastProbeAt = Instant.MIN;
    private Instant lastHeartbeatAt = Instant.MIN;
    private Instant lastUsedAt = Instant.MIN;
    private int consecutiveSlowChecks;
    private boolean acceptsClaimReports;
    private boolean retired;

    ServerView(BackendServer server) {
        this.server = server;
    }

    BackendServer server() {
        return server;
    }

    void server(BackendServer next) {
        server = next;
    }

    StateMachine<ServerState, ServerEvent> machine() {
        return machine;
    }

    boolean linked() {
        return !machine.isIn(ServerState.UNLINKED);
    }

    long incarnation() {
        return incarnation;
    }

    void incarnation(long next) {
        incarnation = next;
    }

    AgentLoad load() {
        return load;
    }

    void recordLoad(AgentLoad next, Instant now) {
        load = next;
        while (!unreportedSubmissions.isEmpty()
                && unreportedSubmissions.peekFirst().sentAt().plus(REPORT_LAG).isBefore(now)) {
            unreportedCostUnits -= unreportedSubmissions.pollFirst().costUnits();
        }
    }

    void recordSubmission(long costUnits, Instant now) {
        unreportedSubmissions.addLast(new Submission(now, costUnits));
        unreportedCostUnits += costUnits;
    }

    /** Discards the state of the previous connection. */
    void resetConnectionState() {
        load = AgentLoad.initial();
        unreportedSubmissions.clear();
        unreportedCostUnits = 0;
        consecutiveSlowChecks = 0;
        acceptsClaimReports = false;
    }

    /** Returns the expected units of the work that is in no load report yet. */
    long unreportedCostUnits() {
        return unreportedCostUnits;
    }

    int unreportedCount() {
        return unreportedSubmissions.size();
    }

    Instant lastProbeAt() {
        return lastProbeAt;
    }

    void recordProbe(Instant now) {
        lastProbeAt = now;
    }

    Instant lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    void lastHeartbeatAt(Instant at) {
        lastHeartbeatAt = at;
    }

    Instant lastUsedAt() {
        return lastUsedAt;
    }

    void lastUsedAt(Instant at) {
        lastUsedAt = at;
    }

    boolean acceptsClaimReports() {
        return acceptsClaimReports;
    }

    void acceptsClaimReports(boolean next) {
        acceptsClaimReports = next;
    }

    /** Returns whether the server is listed no longer, or at another address, and finishes what it was given. */
    boolean retired() {
        return retired;
    }

    void retired(boolean next) {
        retired = next;
    }

    int consecutiveSlowChecks() {
        return consecutiveSlowChecks;
    }

    void consecutiveSlowChecks(int next) {
        consecutiveSlowChecks = next;
    }
}
