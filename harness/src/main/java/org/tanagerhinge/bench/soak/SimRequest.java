package org.tanagerhinge.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.result.RunOutcome;

/** Tracks one request, sent in one call or, if keyed, in several: its starts on servers and its reported outcomes. */
final class SimRequest {
    private final long number;
    private final String profile;
    private final boolean service;
    private final boolean idempotent;
    private final boolean keyed;
    private final int length;
    private final List<RunOutcome> reportedOutcomes = new ArrayList<>();
    private final Set<RequestId> startedCalls = new HashSet<>();
    private final Set<RequestId> notRunCalls = new HashSet<>();
    private int starts;
    private int completeAnswers;

    SimRequest(long number, String profile, boolean service, boolean idempotent, boolean keyed, int length) {
        this.number = number;
        this.profile = profile;
        this.service = service;
        this.idempotent = idempotent;
        this.keyed = keyed;
        this.length = length;
    }

    /** Returns a token of an answer as an engine of a software version writes it. */
    static String token(long number, int index, String softwareVersion) {
        return (index == 0 ? "#" + number : " " + index) + softwareVersion;
    }

    /** Returns whether a text is the beginning of the answer of one software version. */
    boolean isBeginning(String text) {
        return Simulation.SOFTWARE_VERSIONS.stream()
                .anyMatch(version -> expectedAnswer(version).startsWith(text));
    }

    /** Returns whether a text is the complete answer of one software version. */
    boolean isAnswer(String text) {
        return Simulation.SOFTWARE_VERSIONS.stream()
                .anyMatch(version -> expectedAnswer(version).equals(text));
    }

    private String expectedAnswer(String softwareVersion) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < (service ? 1 : length); i++) {
            text.append(token(number, i, softwareVersion));
        }
        return text.toString();
    }

    long number() {
        return number;
    }

    String profile() {
        return profile;
    }

    boolean service() {
        return service;
    }

    boolean keyed() {
        return keyed;
    }

    int length() {
        return length;
    }

    /** Records that a backend server starts the request and checks that this is allowed. */
    void starts(Simulation sim, String server, RequestId call) {
        starts++;
        startedCalls.add(call);
        sim.scheduler.log(() -> "request " + number + " starts at " + server);
        sim.checks.check(
                Invariant.AT_MOST_ONCE, idempotent || starts == 1, () -> this + " starts for the " + starts + ". time");
        checkNotRunOutcomes(sim);
    }

    /** Records the outcome that was reported to the caller of one call. */
    void reportedOutcomes(Simulation sim, RunOutcome outcome, RequestId call) {
        reportedOutcomes.add(outcome);
        if (outcome == RunOutcome.NOT_RUN) {
            notRunCalls.add(call);
        }
        if (outcome == RunOutcome.COMPLETE) {
            completeAnswers++;
        }
        checkNotRunOutcomes(sim);
    }

    /**
     * Checks that a call reported as not run was never started, and that the request was never started if all of its
     * calls were reported as not run.
     */
    private void checkNotRunOutcomes(Simulation sim) {
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                Collections.disjoint(startedCalls, notRunCalls),
                () -> this + " started for a call that was reported as not run");
        boolean allNotRun = !reportedOutcomes.isEmpty()
                && reportedOutcomes.stream().allMatch(outcome -> outcome == RunOutcome.NOT_RUN);
        boolean callsOpen = sim.openCallCount(this) > 0;
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                !allNotRun || callsOpen || starts == 0,
                () -> this + " was reported as not run, but started " + starts + " times");
    }

    boolean started() {
        return starts > 0;
    }

    int completeAnswers() {
        return completeAnswers;
    }

    @Override
    public String toString() {
        return "request " + number + " (" + profile + (keyed ? ", keyed" : "") + ", length " + length + ", reported "
                + reportedOutcomes + ", starts " + starts + ")";
    }
}
