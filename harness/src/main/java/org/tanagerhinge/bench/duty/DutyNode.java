package org.tanagerhinge.bench.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tanagerhinge.core.duty.CallOutcome;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.DutyListener;
import org.tanagerhinge.core.duty.DutyPeer;
import org.tanagerhinge.core.duty.DutyRecord;
import org.tanagerhinge.core.duty.DutySettings;
import org.tanagerhinge.core.duty.MedianClock;
import org.tanagerhinge.core.duty.NodeClock;
import org.tanagerhinge.core.duty.UsageCounter;
import org.tanagerhinge.core.duty.UsageCounts;
import org.tanagerhinge.core.duty.UsageDuty;
import org.tanagerhinge.core.duty.UsageReport;
import org.tanagerhinge.core.duty.UsageReporter;
import org.tanagerhinge.core.duty.UsageTally;
import org.tanagerhinge.core.store.StoreEra;

/**
 * Simulates a node that runs the real decision code of duties, with its clocks and its calls to store, platform and
 * peers.
 */
final class DutyNode {
    private static final long TICK_MILLIS = 150;
    private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 250;
    private static final long PEER_TIMEOUT_MILLIS = 700;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long COMMIT_ANNOUNCEMENT_DELAY_MILLIS = 5;
    private static final long OTHER_STORE_CALLS_MILLIS = 3_000;
    private static final long FINAL_REPORT_MILLIS = 400;
    private static final Duration MAX_CALL_DELAY = Duration.ofSeconds(13);

    private final DutySimulation simulation;
    final String name;
    private final int capacity;
    private final Map<String, ReceivedAnnouncement> peers = new HashMap<>();
    final Set<String> unreachablePeers = new HashSet<>();
    /** Requests that were actually started, by window and workspace. */
    private final TreeMap<Long, Map<String, Long>> actualCounts;

    private long incarnation;
    private boolean alive;
    private boolean suspended;
    private boolean stopping;
    private boolean finishing;
    private long totalSuspendedMillis;
    private long suspendedAtMillis;
    long clockOffsetMillis;
    private final List<Runnable> deferredTasks = new ArrayList<>();

    private StoreEra storeEra;
    private MedianClock medianClock;
    private UsageCounter usageCounter;
    private UsageDuty duty;
    private UsageReporter usageReporter;

    private record ReceivedAnnouncement(long incarnation, DutyAnnouncement announcement, long receivedAtMillis) {}

    DutyNode(DutySimulation simulation, String name, int capacity, TreeMap<Long, Map<String, Long>> actualCounts) {
        this.simulation = simulation;
        this.name = name;
        this.capacity = capacity;
        this.actualCounts = actualCounts;
    }

    private final NodeClock clock = new NodeClock() {
        @Override
        public long steadyMillis() {
            return simulation.bug == DeliberateBug.LEASE_BY_TIME_OF_DAY
                    ? simulation.nowMillis() + clockOffsetMillis
                    : simulation.nowMillis()
                            - totalSuspendedMillis
                            - (suspended ? simulation.nowMillis() - suspendedAtMillis : 0);
        }

        @Override
        public long wallClockMillis() {
            return simulation.bug == DeliberateBug.BLIND_TO_SUSPENSION
                    ? DutySimulation.START_EPOCH_MILLIS + steadyMillis()
                    : simulation.epochMillis() + clockOffsetMillis;
        }
    };

    // ---- process lifecycle

    void start() {
        alive = true;
        suspended = false;
        stopping = false;
        finishing = false;
        incarnation = simulation.random.nextLong();
        peers.clear();
        Duration lease = Duration.ofMillis(DutySimulation.LEASE_MILLIS);
        boolean retakeAtOnce = simulation.bug == DeliberateBug.RETAKE_AT_ONCE;
        boolean skipFenceWait = simulation.bug == DeliberateBug.NO_WAIT_WITHOUT_FENCE;
        DutySettings settings = new DutySettings(
                name,
                lease,
                retakeAtOnce ? Duration.ZERO : lease,
                simulation.fencingEnforced,
                retakeAtOnce || skipFenceWait ? Duration.ZERO : MAX_CALL_DELAY,
                Duration.ofMillis(DutySimulation.WINDOW_MILLIS),
                Duration.ofMillis(DutySimulation.REPORT_GRACE_MILLIS));
        storeEra = StoreEra.create(clock::steadyMillis);
        callStoreForOtherPurposes(incarnation);
        medianClock = MedianClock.of(clock);
        usageCounter = UsageCounter.of(settings, medianClock, incarnation);
        duty = UsageDuty.of(
                settings,
                clock,
                medianClock,
                new SimulatedDutyClient(),
                simulation.random,
                new LoggingListener(),
                usageCounter,
                incarnation);
        usageReporter = UsageReporter.of(settings, clock, medianClock, simulation.random, usageCounter);
        repeat(incarnation, TICK_MILLIS, this::tick);
        repeat(incarnation, ANNOUNCEMENT_INTERVAL_MILLIS, this::announceToPeers);
        repeat(incarnation, 40, this::startRequest);
    }

    /** Models the calls of the node that have nothing to do with duties, which show the store's era as well. */
    private void callStoreForOtherPurposes(long expectedIncarnation) {
        runWhenResumed(expectedIncarnation, () -> {
            if (!simulation.store.down && !isRejectedByStore()) {
                storeEra.observe(simulation.store.era(), "the store");
            }
            simulation.schedule(OTHER_STORE_CALLS_MILLIS, () -> callStoreForOtherPurposes(expectedIncarnation));
        });
    }

    private void repeat(long expectedIncarnation, long intervalMillis, Runnable task) {
        simulation.schedule(
                intervalMillis - simulation.randomBetween(0, 10),
                () -> runWhenResumed(expectedIncarnation, () -> {
                    task.run();
                    repeat(expectedIncarnation, intervalMillis, task);
                }));
    }

    /** Runs a task now or when the host resumes; drops it if the process has since ended or been restarted. */
    private void runWhenResumed(long expectedIncarnation, Runnable task) {
        if (!alive || expectedIncarnation != incarnation) {
            return;
        }
        if (suspended) {
            deferredTasks.add(() -> runWhenResumed(expectedIncarnation, task));
        } else {
            task.run();
        }
    }

    void kill() {
        alive = false;
        suspended = false;
        deferredTasks.clear();
    }

    boolean isRunning() {
        return alive && !suspended;
    }

    boolean isUp() {
        return alive;
    }

    void suspend() {
        if (isRunning()) {
            suspended = true;
            suspendedAtMillis = simulation.nowMillis();
        }
    }

    void resume() {
        if (suspended) {
            suspended = false;
            totalSuspendedMillis += simulation.nowMillis() - suspendedAtMillis;
            List<Runnable> tasks = List.copyOf(deferredTasks);
            deferredTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * Stops gracefully: releases the duty, serves requests for {@code servingMillis}, sends the final report and
     * exits.
     */
    void stop(long servingMillis) {
        if (!isRunning()) {
            return;
        }
        stopping = true;
        duty.stop();
        long ownIncarnation = incarnation;
        simulation.schedule(servingMillis, () -> runWhenResumed(ownIncarnation, () -> finishing = true));
        simulation.schedule(servingMillis + FINAL_REPORT_MILLIS, () -> runWhenResumed(ownIncarnation, this::kill));
    }

    boolean isHolder() {
        return alive && duty != null && duty.fencingToken() > 0;
    }

    // ---- requests, reports and announcements

    private void startRequest() {
        if (!finishing && simulation.chance(0.5)) {
            String workspace = "w" + simulation.randomBetween(0, 4);
            usageCounter.recordStart(workspace);
            actualCounts
                    .computeIfAbsent(
                            Math.floorDiv(simulation.epochMillis(), DutySimulation.WINDOW_MILLIS),
                            window -> new TreeMap<>())
                    .merge(workspace, 1L, Long::sum);
        }
    }

    private List<DutyPeer> knownPeers() {
        List<DutyPeer> knownPeers = new ArrayList<>();
        peers.forEach((peer, last) -> knownPeers.add(new DutyPeer(
                peer,
                last.incarnation(),
                clock.steadyMillis() - last.receivedAtMillis() <= PEER_TIMEOUT_MILLIS,
                last.announcement())));
        return knownPeers;
    }

    private void tick() {
        peers.values().removeIf(last -> clock.steadyMillis() - last.receivedAtMillis() > 30_000);
        List<DutyPeer> knownPeers = knownPeers();
        duty.tick(knownPeers, stopping ? 0 : capacity);
        UsageReporter.findHolder(knownPeers).ifPresent(holder -> {
            long startedRequests = usageReporter.startedRequests();
            if (duty.fencingToken() == 0) {
                usageReporter
                        .pollReport(holder, knownPeers.size() + 1, finishing)
                        .ifPresent(report -> sendUsageReport(holder, report, startedRequests));
            }
        });
    }

    private void sendUsageReport(DutyPeer holder, UsageReport report, long startedRequests) {
        long ownIncarnation = incarnation;
        DutyNode recipient = simulation.nodes.stream()
                .filter(node -> node.name.equals(holder.name()))
                .findFirst()
                .orElseThrow();
        OptionalLong[] committedThrough = {OptionalLong.empty()};
        simulation.schedule(simulation.randomBetween(1, 8), () -> {
            if (canReach(recipient) && recipient.isRunning()) {
                committedThrough[0] = recipient.duty.acceptReport(report);
            }
        });
        simulation.schedule(
                20,
                () -> runWhenResumed(ownIncarnation, () -> {
                    if (committedThrough[0].isPresent() && recipient.canReach(this)) {
                        usageReporter.acknowledged(
                                holder.announcement().fencingToken(),
                                report,
                                startedRequests,
                                committedThrough[0].getAsLong());
                        duty.recordCommittedThrough(committedThrough[0].getAsLong());
                    } else {
                        usageReporter.failed();
                    }
                }));
    }

    private boolean canReach(DutyNode peer) {
        return !unreachablePeers.contains(peer.name) && !peer.unreachablePeers.contains(name);
    }

    private void announceToPeers() {
        DutyAnnouncement announcement = announcement();
        for (DutyNode peer : simulation.nodes) {
            if (isReachable(peer) && !simulation.chance(0.01)) {
                deliver(announcement, peer, simulation.randomBetween(1, 10));
            }
        }
    }

    /** Announces a commit at once; draws no random numbers, so that runs are as they would be without it. */
    private void announceCommit() {
        DutyAnnouncement announcement = announcement();
        simulation.nodes.stream()
                .filter(this::isReachable)
                .forEach(peer -> deliver(announcement, peer, COMMIT_ANNOUNCEMENT_DELAY_MILLIS));
    }

    private DutyAnnouncement announcement() {
        return new DutyAnnouncement(
                clock.wallClockMillis(),
                duty.preference(stopping || isRejectedByStore() ? 0 : capacity),
                duty.fencingToken(),
                storeEra.current(),
                duty.committedThrough());
    }

    private boolean isReachable(DutyNode peer) {
        return peer != this && peer.alive && canReach(peer);
    }

    private void deliver(DutyAnnouncement announcement, DutyNode peer, long delayMillis) {
        long ownIncarnation = incarnation;
        long peerIncarnation = peer.incarnation;
        simulation.schedule(
                delayMillis,
                () -> peer.runWhenResumed(peerIncarnation, () -> {
                    peer.peers.put(
                            name, new ReceivedAnnouncement(ownIncarnation, announcement, peer.clock.steadyMillis()));
                    peer.storeEra.observeFromPeer(announcement.storeEra(), name);
                    peer.medianClock.recordPeerTime(name, announcement.wallClockMillis());
                }));
    }

    private boolean isRejectedByStore() {
        return simulation.store.rejectedNodes.contains(name);
    }

    // ---- calls to the store and the platform

    private final class SimulatedDutyClient implements DutyClient {
        /** Returns a consumer that passes on the first outcome of a call, or an unknown outcome after the timeout. */
        private <T> Consumer<CallOutcome<T>> firstOutcomeOrTimeout(Consumer<CallOutcome<T>> callback) {
            long ownIncarnation = incarnation;
            boolean[] settled = {false};
            Consumer<CallOutcome<T>> settle = outcome -> runWhenResumed(ownIncarnation, () -> {
                if (!settled[0]) {
                    settled[0] = true;
                    callback.accept(outcome);
                }
            });
            simulation.schedule(
                    CALL_TIMEOUT_MILLIS,
                    () -> settle.accept(new CallOutcome.Unknown<>("no response within the timeout")));
            return settle;
        }

        /** Calls the store; the request or the response may be lost, or the operation may be executed late. */
        private <T> void callStore(Supplier<T> operation, Consumer<CallOutcome<T>> callback) {
            Consumer<CallOutcome<T>> settle = firstOutcomeOrTimeout(callback);
            DutyStoreModel store = simulation.store;
            if (store.down || isRejectedByStore()) {
                return;
            }
            long delayMillis = simulation.randomBetween(1, 6) + store.slowMillis;
            boolean late = simulation.chance(store.lateShare);
            boolean lost = late || simulation.chance(store.lostShare);
            simulation.schedule(late ? simulation.randomBetween(1_000, 6_000) : delayMillis, () -> {
                if (store.down) {
                    return;
                }
                T result = operation.get();
                long answeredInEra = store.era();
                if (!lost) {
                    simulation.schedule(
                            simulation.randomBetween(1, 6), () -> settle.accept(storeOutcome(result, answeredInEra)));
                }
            });
        }

        private <T> CallOutcome<T> storeOutcome(T result, long answeredInEra) {
            return isRunning() && !storeEra.observe(answeredInEra, "the store")
                    ? new CallOutcome.Unknown<>("response of an earlier era of the store")
                    : new CallOutcome.Completed<>(result);
        }

        @Override
        public long storeEra() {
            return storeEra.current();
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<CallOutcome<Long>> callback) {
            callStore(() -> simulation.store.grantLease(ttlMillis), callback);
        }

        @Override
        public void claim(
                String claim, long leaseId, List<String> recentHolders, Consumer<CallOutcome<Boolean>> callback) {
            callStore(() -> simulation.store.claim(claim, leaseId, recentHolders), callback);
        }

        @Override
        public void renewLease(long leaseId, Consumer<CallOutcome<Boolean>> callback) {
            callStore(() -> simulation.store.renewLease(leaseId, DutySimulation.LEASE_MILLIS), callback);
        }

        @Override
        public void revokeLease(long leaseId) {
            callStore(
                    () -> {
                        simulation.store.revokeLease(leaseId);
                        return true;
                    },
                    reply -> {});
        }

        @Override
        public void readRecord(Consumer<CallOutcome<DutyRecord>> callback) {
            callStore(simulation.store::read, callback);
        }

        @Override
        public void commitUsage(
                long fencingToken,
                UsageCounts counts,
                long pruneThrough,
                Consumer<CallOutcome<CommitResult>> callback) {
            if (simulation.bug == DeliberateBug.NO_FREEZE_OF_COUNTS) {
                callStore(CommitResult.Committed::new, callback);
                return;
            }
            Function<UsageCounts, CommitResult> alreadyCommitted = CommitResult.AlreadyCommitted::new;
            callStore(
                    () -> simulation.store.conditionHolds(fencingToken)
                            ? simulation
                                    .store
                                    .commit(counts, pruneThrough)
                                    .map(alreadyCommitted)
                                    .orElseGet(CommitResult.Committed::new)
                            : new CommitResult.NotHolder(),
                    callback);
        }

        @Override
        public void saveTally(long fencingToken, UsageTally tally, Consumer<CallOutcome<Boolean>> callback) {
            callStore(
                    () -> {
                        boolean executed = simulation.store.conditionHolds(fencingToken);
                        if (executed) {
                            simulation.store.saveTally(tally);
                        }
                        return executed;
                    },
                    callback);
        }

        @Override
        public void release(long fencingToken, UsageTally tally, Runnable callback) {
            callStore(
                    () -> {
                        if (simulation.store.conditionHolds(fencingToken)) {
                            simulation.store.saveTally(tally);
                            simulation.store.release();
                        }
                        return true;
                    },
                    reply -> callback.run());
        }

        @Override
        public void reportUsage(long fencingToken, UsageCounts counts, Consumer<CallOutcome<ReportResult>> callback) {
            long sentToken = simulation.bug == DeliberateBug.NO_FENCE ? 1 : fencingToken;
            if (!simulation.store.holdsDuty(fencingToken) && !simulation.store.restoredWithinLease(fencingToken)) {
                simulation.recordFailure(
                        name + " sends a report with token " + fencingToken + " after its lease has expired");
            }
            Consumer<CallOutcome<ReportResult>> settle = firstOutcomeOrTimeout(callback);
            UsageEndpointModel endpoint = simulation.usageEndpoint;
            if (endpoint.down || endpoint.isolatedNodes.contains(name)) {
                return;
            }
            if (simulation.chance(endpoint.lateShare)) {
                simulation.schedule(
                        simulation.randomBetween(2_000, 12_000), () -> endpoint.report(name, sentToken, counts));
                return;
            }
            boolean lost = simulation.chance(endpoint.unansweredShare);
            simulation.schedule(simulation.randomBetween(1, 10), () -> {
                ReportResult result = endpoint.report(name, sentToken, counts);
                if (!lost) {
                    simulation.schedule(
                            simulation.randomBetween(1, 10), () -> settle.accept(new CallOutcome.Completed<>(result)));
                }
            });
        }
    }

    /** Writes the events of the duty to the log of the run. */
    private final class LoggingListener implements DutyListener {
        @Override
        public void dutyAcquired(long fencingToken) {
            simulation.logEvent(name + " acquired the duty with token " + fencingToken);
        }

        @Override
        public void dutyLost(long fencingToken, String reason) {
            simulation.logEvent(name + " lost the duty with token " + fencingToken + ": " + reason);
        }

        @Override
        public void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes) {
            simulation.logEvent(
                    name + " committed " + counts + ", complete reports from " + completeNodes + " of " + knownNodes);
            announceCommit();
        }

        @Override
        public void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis) {
            simulation.logEvent(
                    name + " reported window " + counts.window() + " with token " + fencingToken + ": " + outcome);
        }

        @Override
        public void windowSkipped(long window, String reason) {
            simulation.logEvent(name + " skipped window " + window + ": " + reason);
        }

        @Override
        public void windowMissed(long window, String reason) {
            simulation.logEvent(name + " missed window " + window + ": " + reason);
        }

        @Override
        public void statementIgnored(String statement) {
            simulation.logEvent(name + " ignores: " + statement);
        }
    }
}
