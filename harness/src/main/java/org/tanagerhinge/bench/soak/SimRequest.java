package org.tanagerhinge.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.result.RunOutcome;

/** What a caller wants once, through one call or, with a key, several; and what really happened to it. */
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

    static String token(long number, int index) {
        return index == 0 ? "#" + number : " " + index;
    }

    /** Returns the whole answer. */
    String expectedAnswer() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < (service ? 1 : length); i++) {
            text.append(token(number, i));
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

    /** A backend server begins to run it. */
    void starts(Simulation sim, String server, RequestId call) {
        starts++;
        startedCalls.add(call);
        sim.scheduler.log(() -> "request " + number + " begins at " + server);
        sim.checks.check(
                Invariant.AT_MOST_ONCE, idempotent || starts == 1, () -> this + " begins for the " + starts + ". time");
        checkNotRunOutcomes(sim);
    }

    /** A caller was told how one call ended. */
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
     * If every call so far was told "not run", nothing may have begun, now or later; and of a call that was told so
     * nothing may have begun, whatever became of other calls with the same key.
     */
    private void checkNotRunOutcomes(Simulation sim) {
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                Collections.disjoint(startedCalls, notRunCalls),
                () -> this + " began for a call that was told not run");
        boolean allNotRun = !reportedOutcomes.isEmpty()
                && reportedOutcomes.stream().allMatch(outcome -> outcome == RunOutcome.NOT_RUN);
        boolean callsOpen = sim.openCallCount(this) > 0;
        sim.checks.check(
                Invariant.NOT_RUN_IS_TRUE,
                !allNotRun || callsOpen || starts == 0,
                () -> this + " was told not run, but began " + starts + " times");
    }

    int completeAnswers() {
        return completeAnswers;
    }

    @Override
    public String toString() {
        return "request " + number + " (" + profile + (keyed ? ", keyed" : "") + ", length " + length + ", told "
                + reportedOutcomes + ", begun " + starts + ")";
    }
}
