package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The duty to report to the platform, once for each window, the requests that servers began.
 *
 * <p>Two different reports for one window are worse than none: counts are fixed in the store before they are sent for the first
 * time, under the condition that nobody has fixed them before and that the holding still stands, and whoever goes on with a
 * window sends exactly these. While the store can't be reached nothing new is reported.
 */
public final class UsageDuty {
    /** After the end of a window, the time in which clocks that differ a little reach it too, in milliseconds. */
    private static final long SETTLE_MILLIS = 150;
    /** Part of the time until a report is late for which silent nodes are waited for. */
    private static final int PATIENCE = 2;
    /** Time in which the nodes find a new holder and tell it what they have counted, in milliseconds. */
    private static final long HEAR_MILLIS = 1_200;
    /** How often what was heard is saved, in milliseconds: a holder that is killed takes no more than that with it. */
    private static final long SAVE_MILLIS = 1_000;

    /**
     * Age in seconds from which a process is preferred by power alone: until then calls of the process before it on the same
     * host may still be carried out, which would count as this one's.
     */
    private static final int SETTLED_SECONDS = 15;

    private static final long FIRST_BACKOFF_MILLIS = 300;
    private static final long LONGEST_BACKOFF_MILLIS = 3_000;

    private final DutySettings terms;
    private final NodeClock clock;
    private final MedianClock time;
    private final DutyClient port;
    private final RandomGenerator random;
    private final DutyListener listener;
    private final UsageCounter counter;
    private final DutyHolding holding;
    private final long startedAt;
    private UsageTally tally = UsageTally.create();
    /** Counts that the store was asked to fix and that it hasn't answered for; they must not change any more. */
    private UsageCounts fixing;

    private Coverage coverage;
    private boolean fixInFlight;
    private long nextFix;
    private final TreeMap<Long, UsageCounts> unreported = new TreeMap<>();
    private boolean reportInFlight;
    private long nextReport;
    private long backoff = FIRST_BACKOFF_MILLIS;
    private boolean saveInFlight;
    private long nextSave;
    private long heldSince;
    /** Changes whenever the duty is lost: answers to calls that were made before are not heard. */
    private long term;

    /** Nodes whose counts are complete, and nodes that are known. */
    private record Coverage(int heard, int known) {}

    private UsageDuty(
            DutySettings terms,
            NodeClock clock,
            MedianClock time,
            DutyClient port,
            RandomGenerator random,
            DutyListener listener,
            UsageCounter counter,
            long incarnation) {
        this.terms = terms;
        this.clock = clock;
        this.time = time;
        this.port = port;
        this.random = random;
        this.listener = listener;
        this.counter = counter;
        this.startedAt = clock.steadyMillis();
        this.holding = new DutyHolding(terms, clock, port, random, listener, incarnation, this::takeOver, this::forget);
    }

    /** Returns the duty of a node that has just started; {@code counter} is its own. */
    public static UsageDuty of(
            DutySettings terms,
            NodeClock clock,
            MedianClock time,
            DutyClient port,
            RandomGenerator random,
            DutyListener listener,
            UsageCounter counter,
            long incarnation) {
        return new UsageDuty(terms, clock, time, port, random, listener, counter, incarnation);
    }

    /** Returns the fencing token if this node holds the duty and can prove it, 0 otherwise: the others may take it then. */
    public long token() {
        return holding.leaseLeftMillis() > 0 ? holding.token() : 0;
    }

    /**
     * Returns how much this node is to be preferred as a holder: by the power of its host, but older processes first where all
     * are young.
     *
     * @param hostPower how well the host could bear a duty, greater is better; 0 if the node takes none
     */
    public int preference(int hostPower) {
        int age = (int) Math.min(SETTLED_SECONDS, (clock.steadyMillis() - startedAt) / 1000);
        return hostPower == 0 ? 0 : 1 + age + (age == SETTLED_SECONDS ? hostPower : 0);
    }

    /**
     * Does what is due; to be called several times a second.
     *
     * @param hostPower how well this host could bear the duty, 0 if the node takes none
     */
    public void step(List<DutyPeer> others, int hostPower) {
        holding.step(others, preference(hostPower));
        if (!holding.holds()) {
            return;
        }
        tally.take(counter.snapshot(false));
        fixDue(others);
        reportDue();
        saveDue();
    }

    /**
     * Takes what a node has counted.
     *
     * @return the newest window that is fixed, so that nothing more need be told of it; nothing if this node isn't the holder
     */
    public OptionalLong take(UsageReport report) {
        if (!holding.holds()) {
            return OptionalLong.empty();
        }
        tally.take(report);
        return OptionalLong.of(tally.fixedThrough());
    }

    /** Gives the duty back with what was heard: the process stops. */
    public void stop() {
        tally.take(counter.snapshot(false));
        holding.stop(tally.saved());
    }

    private void takeOver(DutyRecord found) {
        found.committedCounts().forEach(counts -> {
            tally.fixed(counts.window());
            if (time.epochMillis() < terms.windowEndMillis(counts.window()) + 2 * terms.reportDeadlineMillis()) {
                unreported.put(counts.window(), counts);
            }
        });
        tally.takeAll(found.savedReports());
        heldSince = clock.steadyMillis();
        nextSave = heldSince + SAVE_MILLIS;
    }

    private void forget() {
        term++;
        tally = UsageTally.create();
        unreported.clear();
        fixing = null;
        fixInFlight = false;
        reportInFlight = false;
        saveInFlight = false;
    }

    // ---- fixing

    private void fixDue(List<DutyPeer> others) {
        if (fixInFlight || clock.steadyMillis() < nextFix || !holding.mayCall()) {
            return;
        }
        if (fixing == null) {
            long now = time.epochMillis();
            skipLate(now);
            long window = tally.fixedThrough() + 1;
            if (window >= terms.windowAt(now) || !ready(window, now, others)) {
                return;
            }
            if (!tally.anyBefore(terms.windowEndMillis(window))) {
                tally.fixed(window);
                return;
            }
            fixing = tally.counts(window);
            coverage = new Coverage(complete(window, others), others.size() + 1);
        }
        fix(fixing);
    }

    /** Windows whose report would be late are not reported any more. */
    private void skipLate(long now) {
        long oldest = terms.windowAt(now - terms.reportDeadlineMillis());
        long first = tally.fixedThrough() + 1;
        if (first >= oldest) {
            return;
        }
        for (long window = Math.max(first, oldest - terms.retainedWindows()); window < oldest; window++) {
            if (tally.anyBefore(terms.windowEndMillis(window))) {
                listener.windowMissed(window, "was not fixed in time");
            }
        }
        tally.fixed(oldest - 1);
    }

    private boolean ready(long window, long now, List<DutyPeer> others) {
        long end = terms.windowEndMillis(window);
        boolean patienceEnds =
                now >= end + terms.reportDeadlineMillis() / PATIENCE && clock.steadyMillis() >= heldSince + HEAR_MILLIS;
        return now >= end + SETTLE_MILLIS && (patienceEnds || complete(window, others) > others.size());
    }

    /** Returns how many nodes, this one among them, have told all that they counted in a window. */
    private int complete(long window, List<DutyPeer> others) {
        long end = terms.windowEndMillis(window);
        return 1
                + (int) others.stream()
                        .filter(peer -> tally.complete(peer.name(), peer.incarnation(), end))
                        .count();
    }

    private void fix(UsageCounts counts) {
        fixInFlight = true;
        long asked = term;
        long forget = counts.window() - terms.retainedWindows();
        port.commitUsage(holding.token(), counts, forget, reply -> {
            if (asked != term) {
                return;
            }
            fixInFlight = false;
            switch (reply) {
                case CallOutcome.Completed<DutyClient.CommitResult>(DutyClient.CommitResult.Committed now) ->
                    fixed(counts);
                case CallOutcome.Completed<DutyClient.CommitResult>(
                        DutyClient.CommitResult.AlreadyCommitted(UsageCounts before)) -> fixed(before);
                case CallOutcome.Completed<DutyClient.CommitResult>(DutyClient.CommitResult.NotHolder not) ->
                    holding.lose("its key has gone");
                case CallOutcome.Unknown<DutyClient.CommitResult> unknown ->
                    nextFix = clock.steadyMillis() + FIRST_BACKOFF_MILLIS + random.nextLong(FIRST_BACKOFF_MILLIS);
            }
        });
    }

    private void fixed(UsageCounts counts) {
        listener.usageCommitted(holding.token(), counts, coverage.heard(), coverage.known());
        fixing = null;
        tally.fixed(counts.window());
        tally.trim(time.epochMillis() - 2 * terms.reportDeadlineMillis());
        unreported.put(counts.window(), counts);
        counter.dropThrough(counts.window());
        reportDue();
    }

    // ---- reporting

    private void reportDue() {
        if (reportInFlight || unreported.isEmpty() || clock.steadyMillis() < nextReport || !holding.mayCall()) {
            return;
        }
        UsageCounts counts = unreported.firstEntry().getValue();
        reportInFlight = true;
        long asked = term;
        long token = holding.token();
        long sentAt = clock.steadyMillis();
        port.reportUsage(token, counts, reply -> {
            if (reply instanceof CallOutcome.Unknown) {
                holding.unanswered(sentAt);
            }
            if (asked != term) {
                return;
            }
            reportInFlight = false;
            String outcome = switch (reply) {
                case CallOutcome.Completed<DutyClient.ReportResult>(DutyClient.ReportResult reported) ->
                    reported.name();
                case CallOutcome.Unknown<DutyClient.ReportResult>(String why) -> why;
            };
            listener.usageReported(token, counts, outcome, holding.leaseLeftMillis());
            answered(counts, reply);
        });
    }

    private void answered(UsageCounts counts, CallOutcome<DutyClient.ReportResult> reply) {
        switch (reply) {
            case CallOutcome.Completed<DutyClient.ReportResult>(DutyClient.ReportResult reported) -> {
                switch (reported) {
                    case ACCEPTED -> settled(counts);
                    case FENCED -> holding.lose("a higher token was seen");
                    case LATER -> backOff();
                    case REFUSED -> {
                        listener.windowMissed(counts.window(), "the platform doesn't accept the report");
                        settled(counts);
                    }
                }
            }
            case CallOutcome.Unknown<DutyClient.ReportResult> unknown -> backOff();
        }
    }

    private void settled(UsageCounts counts) {
        unreported.remove(counts.window());
        backoff = FIRST_BACKOFF_MILLIS;
        reportDue();
    }

    private void backOff() {
        nextReport = clock.steadyMillis() + backoff / 2 + random.nextLong(backoff);
        backoff = Math.min(LONGEST_BACKOFF_MILLIS, 2 * backoff);
    }

    // ---- saving

    private void saveDue() {
        long now = clock.steadyMillis();
        if (saveInFlight || now < nextSave || !holding.mayCall() || !tally.takeChange()) {
            return;
        }
        saveInFlight = true;
        nextSave = now + SAVE_MILLIS;
        long asked = term;
        port.saveReports(holding.token(), tally.saved(), reply -> {
            if (asked != term) {
                return;
            }
            saveInFlight = false;
            if (reply instanceof CallOutcome.Completed<Boolean>(Boolean stands) && !stands) {
                holding.lose("its key has gone");
            }
        });
    }
}
