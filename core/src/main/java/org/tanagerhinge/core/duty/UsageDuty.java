package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Reports the number of started requests to the platform, once for each usage window, while this node holds the duty.
 *
 * <p>Two different reports for one window must not occur; they are worse than a missing one. Counts are therefore
 * committed to the store before they are first sent, on condition that they were not committed before and that this
 * node is still the holder. A successor sends exactly the committed counts. While the store is unreachable, no new
 * window is reported.
 *
 * <p>A store that is restored from an older copy may have lost commits. Each node therefore remembers the newest
 * committed window it knows of, and a former holder the counts. After a restore, a new holder commits windows that
 * ended before it only once it has heard the former holder's final state, and leaves out those that were committed with
 * unknown counts.
 */
public final class UsageDuty {
    /** Wait after the end of a window until the clocks of all nodes have reached it. */
    private static final long CLOCK_SKEW_ALLOWANCE_MILLIS = 150;
    /** Nodes with incomplete counts are awaited for this fraction of the report deadline, one part in this many. */
    private static final int PEER_WAIT_DIVISOR = 2;
    /** Time for all nodes to discover a new holder and report to it. */
    private static final long TAKEOVER_GRACE_MILLIS = 1_200;
    /** Interval between saves of received reports: bounds what is lost if the holder crashes. */
    private static final long SAVE_INTERVAL_MILLIS = 1_000;

    /**
     * Age from which a process is ranked by host capacity. Before that, calls of the previous process on the same
     * host may still be executed, and would count as those of this one.
     */
    private static final int MATURE_AGE_SECONDS = 15;

    /** What others state of windows further ahead is ignored: this node would skip all windows until then. */
    private static final long MAX_CLOCK_ERROR_MILLIS = 24 * 3_600_000L;

    private static final long INITIAL_BACKOFF_MILLIS = 300;
    private static final long MAX_BACKOFF_MILLIS = 3_000;

    private final DutySettings settings;
    private final NodeClock clock;
    private final MedianClock medianClock;
    private final DutyClient client;
    private final RandomGenerator random;
    private final DutyListener listener;
    private final UsageCounter counter;
    private final DutyElection election;
    private final long startedAtMillis;
    private final CommittedWindows committedWindows;
    private final ClockHistory clockHistory = ClockHistory.create();
    private UsageAggregator aggregator = UsageAggregator.create();
    /** Counts whose commit was requested but not confirmed; a retry must send the same counts. */
    private UsageCounts pendingCommit;

    private Coverage coverage;
    private final PendingCall commitCall = new PendingCall();
    private long nextCommitMillis;
    private final TreeMap<Long, UsageCounts> unreported = new TreeMap<>();
    private final PendingCall reportCall = new PendingCall();
    private long nextReportMillis;
    private long reportBackoffMillis = INITIAL_BACKOFF_MILLIS;
    private final PendingCall saveCall = new PendingCall();
    private long nextSaveMillis;
    private long holderSinceMillis;
    /** Increases whenever the duty is lost, so that callbacks of earlier calls are ignored. */
    private long epoch;

    /** Number of nodes whose counts of a window are complete, out of the number of known nodes. */
    private record Coverage(int completeNodes, int knownNodes) {}

    private UsageDuty(
            DutySettings settings,
            NodeClock clock,
            MedianClock medianClock,
            DutyClient client,
            RandomGenerator random,
            DutyListener listener,
            UsageCounter counter,
            long incarnation) {
        this.settings = settings;
        this.clock = clock;
        this.medianClock = medianClock;
        this.client = client;
        this.random = random;
        this.listener = listener;
        this.counter = counter;
        this.startedAtMillis = clock.steadyMillis();
        this.committedWindows = CommittedWindows.of(settings.node(), incarnation);
        this.election = new DutyElection(
                settings, clock, client, random, listener, incarnation, this::onDutyAcquired, this::onDutyLost);
    }

    /** Returns the duty of a node that has just started; {@code counter} counts that node's requests. */
    public static UsageDuty of(
            DutySettings settings,
            NodeClock clock,
            MedianClock medianClock,
            DutyClient client,
            RandomGenerator random,
            DutyListener listener,
            UsageCounter counter,
            long incarnation) {
        return new UsageDuty(settings, clock, medianClock, client, random, listener, counter, incarnation);
    }

    /** Returns the fencing token if this node holds the duty and its lease is certain to be valid, 0 otherwise. */
    public long fencingToken() {
        return election.remainingLeaseMillis() > 0 ? election.fencingToken() : 0;
    }

    /**
     * Returns the rank of this node as a candidate: by host capacity, but by age among processes that started recently.
     *
     * @param hostCapacity capacity of the host for duties, greater is better; 0 if the node is no candidate
     */
    public int preference(int hostCapacity) {
        int ageSeconds = (int) Math.min(MATURE_AGE_SECONDS, (clock.steadyMillis() - startedAtMillis) / 1000);
        return hostCapacity == 0 ? 0 : 1 + ageSeconds + (ageSeconds == MATURE_AGE_SECONDS ? hostCapacity : 0);
    }

    /**
     * Runs the election and, on the holder, commits, reports and saves what is due. Call it several times a second.
     *
     * @param peers the other nodes
     * @param hostCapacity capacity of this host for duties, 0 if the node is no candidate
     */
    public void tick(List<DutyPeer> peers, int hostCapacity) {
        clockHistory.record(clock.steadyMillis(), medianClock.epochMillis());
        peers.stream()
                .filter(peer -> isPlausible(peer.announcement().committedThrough()))
                .forEach(peer -> committedWindows.learnFrom(peer, client.storeEra()));
        election.tick(peers, preference(hostCapacity));
        if (!election.isHolder()) {
            return;
        }
        aggregator.merge(counter.snapshot(false));
        commitIfDue(peers);
        reportIfDue();
        saveIfDue();
    }

    /** Returns whether others may know a window by now; 0 stands for none. */
    private boolean isPlausible(long window) {
        return window >= 0 && window <= settings.windowAt(medianClock.epochMillis() + MAX_CLOCK_ERROR_MILLIS);
    }

    /** Returns a report without the windows that no node can have counted. */
    private UsageReport plausible(UsageReport report) {
        if (report.windows().keySet().stream().allMatch(this::isPlausible)) {
            return report;
        }
        SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>(report.windows());
        windows.keySet().removeIf(window -> !isPlausible(window));
        listener.statementIgnored("usage of implausible windows, reported by " + report.node());
        return new UsageReport(
                report.node(), report.incarnation(), report.sinceMillis(), report.asOfMillis(), report.last(), windows);
    }

    /** Returns a saved tally without implausible windows. */
    private UsageTally plausible(UsageTally tally) {
        boolean known = isPlausible(tally.committedThrough());
        if (!known) {
            listener.statementIgnored("tally says that windows are committed through " + tally.committedThrough());
        }
        return new UsageTally(
                tally.reports().stream().map(this::plausible).toList(),
                known ? tally.committedThrough() : 0,
                tally.era());
    }

    /**
     * Merges the report of a node.
     *
     * @return the newest committed window, whose counts need not be reported again; nothing if this node is not the
     *     holder
     */
    public OptionalLong acceptReport(UsageReport report) {
        if (!election.isHolder()) {
            return OptionalLong.empty();
        }
        aggregator.merge(plausible(report));
        return OptionalLong.of(aggregator.committedThrough());
    }

    /** Records that a holder has committed the windows up to and including this one. */
    public void recordCommittedThrough(long window) {
        if (isPlausible(window)) {
            committedWindows.recordThrough(window);
        }
    }

    /** Returns the newest window that this node knows to be committed, 0 if there is none. */
    public long committedThrough() {
        return Math.max(0, committedWindows.through());
    }

    /** Saves the received reports and gives up the duty because the process shuts down. */
    public void stop() {
        aggregator.merge(counter.snapshot(false));
        election.stop(tally());
    }

    private void onDutyAcquired(DutyRecord dutyRecord) {
        UsageTally tally = plausible(dutyRecord.tally());
        committedWindows.dutyAcquired(tally, client.storeEra(), settings.windowAt(medianClock.epochMillis()) - 1);
        dutyRecord.committedCounts().forEach(counts -> {
            if (!isPlausible(counts.window())) {
                listener.statementIgnored("counts of window " + counts.window() + " are committed");
                return;
            }
            committedWindows.record(counts);
            aggregator.markCommitted(counts.window());
            if (medianClock.epochMillis()
                    < settings.windowEndMillis(counts.window()) + 2 * settings.reportDeadlineMillis()) {
                unreported.put(counts.window(), counts);
            }
        });
        aggregator.mergeAll(tally.reports());
        holderSinceMillis = clock.steadyMillis();
        nextSaveMillis = holderSinceMillis + SAVE_INTERVAL_MILLIS;
    }

    private void onDutyLost() {
        epoch++;
        aggregator = UsageAggregator.create();
        unreported.clear();
        pendingCommit = null;
        commitCall.ended();
        reportCall.ended();
        saveCall.ended();
    }

    // ---- committing

    private void commitIfDue(List<DutyPeer> peers) {
        if (commitCall.inFlight(clock.steadyMillis())
                || clock.steadyMillis() < nextCommitMillis
                || !election.canCall()) {
            return;
        }
        if (pendingCommit == null) {
            Optional<UsageCounts> next = nextCounts(peers);
            if (next.isEmpty()) {
                return;
            }
            pendingCommit = next.get();
            coverage = new Coverage(completeNodes(pendingCommit.window(), peers), peers.size() + 1);
        }
        commit(pendingCommit);
    }

    /**
     * Returns the counts to commit next, or nothing if none are due; those of a commit that the store has lost first.
     */
    private Optional<UsageCounts> nextCounts(List<DutyPeer> peers) {
        long nowMillis = medianClock.epochMillis();
        skipExpiredWindows(nowMillis);
        skipWindowsOfOtherHolders();
        long window = aggregator.committedThrough() + 1;
        Optional<UsageCounts> committedBefore = committedWindows.counts(window);
        if (committedBefore.isPresent()) {
            return committedBefore;
        }
        if (window >= settings.windowAt(nowMillis)
                || !hasEndedBySteadyClock(window)
                || !isReady(window, nowMillis, peers)) {
            return Optional.empty();
        }
        if (!committedWindows.isSettled(window)) {
            skip(window, "the latest holder before the restore of the store is not heard");
            return Optional.empty();
        }
        if (!aggregator.anyStartedBefore(settings.windowEndMillis(window))) {
            aggregator.markCommitted(window);
            return Optional.empty();
        }
        return Optional.of(aggregator.counts(window));
    }

    /**
     * Returns whether a window has ended whatever steps the wall clocks make now. A window committed ahead of its end
     * would not count as ended before a restore of the store, and might be committed again with other counts.
     */
    private boolean hasEndedBySteadyClock(long window) {
        return clockHistory.epochMillis(clock.steadyMillis()) >= settings.windowEndMillis(window);
    }

    /** Skips windows whose report deadline has passed. */
    private void skipExpiredWindows(long nowMillis) {
        long oldest = settings.windowAt(nowMillis - settings.reportDeadlineMillis());
        long first = aggregator.committedThrough() + 1;
        if (first >= oldest) {
            return;
        }
        for (long window = Math.max(first, oldest - settings.retainedWindows()); window < oldest; window++) {
            if (aggregator.anyStartedBefore(settings.windowEndMillis(window))) {
                listener.windowMissed(window, "counts not committed before the report deadline");
            }
        }
        aggregator.markCommitted(oldest - 1);
    }

    /** Skips windows that another node has committed, whose counts are unknown because the store has lost them. */
    private void skipWindowsOfOtherHolders() {
        for (long window = aggregator.committedThrough() + 1;
                window <= committedWindows.through()
                        && committedWindows.counts(window).isEmpty();
                window++) {
            skip(window, "committed by another holder before the restore of the store");
        }
    }

    private void skip(long window, String reason) {
        listener.windowSkipped(window, reason);
        committedWindows.recordThrough(window);
        aggregator.markCommitted(window);
    }

    private boolean isReady(long window, long nowMillis, List<DutyPeer> peers) {
        long endMillis = settings.windowEndMillis(window);
        boolean settled = committedWindows.isSettled(window);
        boolean waitExpired = nowMillis >= endMillis + settings.reportDeadlineMillis() / PEER_WAIT_DIVISOR
                && clock.steadyMillis() >= holderSinceMillis + TAKEOVER_GRACE_MILLIS;
        return nowMillis >= endMillis + CLOCK_SKEW_ALLOWANCE_MILLIS
                && (waitExpired || (settled && completeNodes(window, peers) > peers.size()));
    }

    /** Returns how many nodes, including this one, have reported all of their counts of a window. */
    private int completeNodes(long window, List<DutyPeer> peers) {
        long endMillis = settings.windowEndMillis(window);
        return 1
                + (int) peers.stream()
                        .filter(peer -> aggregator.isComplete(peer.name(), peer.incarnation(), endMillis))
                        .count();
    }

    private void commit(UsageCounts counts) {
        commitCall.sent(clock.steadyMillis());
        long callEpoch = epoch;
        long pruneThrough = counts.window() - settings.retainedWindows();
        client.commitUsage(election.fencingToken(), counts, pruneThrough, outcome -> {
            election.observeEra();
            if (callEpoch != epoch) {
                return;
            }
            commitCall.ended();
            switch (outcome) {
                case CallOutcome.Completed<DutyClient.CommitResult>(DutyClient.CommitResult.Committed committed) ->
                    onCommitted(counts);
                case CallOutcome.Completed<DutyClient.CommitResult>(
                        DutyClient.CommitResult.AlreadyCommitted(UsageCounts committedBefore)) -> {
                    if (committedBefore.window() == counts.window()) {
                        onCommitted(committedBefore);
                    } else {
                        skipUnreadable(counts.window(), "they are of window " + committedBefore.window());
                    }
                }
                case CallOutcome.Completed<DutyClient.CommitResult>(
                        DutyClient.CommitResult.CommittedUnreadable(String reason)) ->
                    skipUnreadable(counts.window(), reason);
                case CallOutcome.Completed<DutyClient.CommitResult>(DutyClient.CommitResult.NotHolder notHolder) ->
                    election.relinquish("ownership key is gone from the store or has another revision");
                case CallOutcome.Unknown<DutyClient.CommitResult> unknown ->
                    nextCommitMillis =
                            clock.steadyMillis() + INITIAL_BACKOFF_MILLIS + random.nextLong(INITIAL_BACKOFF_MILLIS);
            }
        });
    }

    private void skipUnreadable(long window, String reason) {
        pendingCommit = null;
        skip(window, "committed with counts that cannot be read: " + reason);
    }

    private void onCommitted(UsageCounts counts) {
        committedWindows.record(counts);
        listener.usageCommitted(election.fencingToken(), counts, coverage.completeNodes(), coverage.knownNodes());
        pendingCommit = null;
        committedWindows.dropThrough(counts.window() - settings.retainedWindows());
        aggregator.markCommitted(counts.window());
        aggregator.removeIdleSources(medianClock.epochMillis() - 2 * settings.reportDeadlineMillis());
        unreported.put(counts.window(), counts);
        counter.dropThrough(counts.window());
        reportIfDue();
    }

    // ---- reporting

    private void reportIfDue() {
        if (reportCall.inFlight(clock.steadyMillis())
                || unreported.isEmpty()
                || clock.steadyMillis() < nextReportMillis
                || !election.canCall()) {
            return;
        }
        UsageCounts counts = unreported.firstEntry().getValue();
        reportCall.sent(clock.steadyMillis());
        long callEpoch = epoch;
        long token = election.fencingToken();
        long sentAtMillis = clock.steadyMillis();
        client.reportUsage(token, counts, outcome -> {
            if (outcome instanceof CallOutcome.Unknown) {
                election.recordUnansweredCall(sentAtMillis);
            }
            if (callEpoch != epoch) {
                return;
            }
            reportCall.ended();
            String outcomeText = switch (outcome) {
                case CallOutcome.Completed<DutyClient.ReportResult>(DutyClient.ReportResult result) -> result.name();
                case CallOutcome.Unknown<DutyClient.ReportResult>(String reason) -> reason;
            };
            listener.usageReported(token, counts, outcomeText, election.remainingLeaseMillis());
            onReportOutcome(counts, outcome);
        });
    }

    private void onReportOutcome(UsageCounts counts, CallOutcome<DutyClient.ReportResult> outcome) {
        switch (outcome) {
            case CallOutcome.Completed<DutyClient.ReportResult>(DutyClient.ReportResult result) -> {
                switch (result) {
                    case ACCEPTED -> finishReport(counts);
                    case FENCED -> election.relinquish("platform has seen a higher fencing token");
                    case LATER -> backOff();
                    case REFUSED -> {
                        listener.windowMissed(counts.window(), "platform rejected the report");
                        finishReport(counts);
                    }
                }
            }
            case CallOutcome.Unknown<DutyClient.ReportResult> unknown -> backOff();
        }
    }

    private void finishReport(UsageCounts counts) {
        unreported.remove(counts.window());
        reportBackoffMillis = INITIAL_BACKOFF_MILLIS;
        reportIfDue();
    }

    private void backOff() {
        nextReportMillis = clock.steadyMillis() + reportBackoffMillis / 2 + random.nextLong(reportBackoffMillis);
        reportBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * reportBackoffMillis);
    }

    // ---- saving

    private UsageTally tally() {
        long tallyEra = committedWindows.tallyEra(aggregator.committedThrough(), client.storeEra());
        return new UsageTally(aggregator.snapshot(), committedThrough(), tallyEra);
    }

    private void saveIfDue() {
        long nowMillis = clock.steadyMillis();
        if (saveCall.inFlight(nowMillis)
                || nowMillis < nextSaveMillis
                || !election.canCall()
                || !aggregator.clearChanged()) {
            return;
        }
        saveCall.sent(clock.steadyMillis());
        nextSaveMillis = nowMillis + SAVE_INTERVAL_MILLIS;
        long callEpoch = epoch;
        client.saveTally(election.fencingToken(), tally(), outcome -> {
            election.observeEra();
            if (callEpoch != epoch) {
                return;
            }
            saveCall.ended();
            if (outcome instanceof CallOutcome.Completed<Boolean>(Boolean stillHolder) && !stillHolder) {
                election.relinquish("ownership key is gone from the store or has another revision");
            }
        });
    }
}
