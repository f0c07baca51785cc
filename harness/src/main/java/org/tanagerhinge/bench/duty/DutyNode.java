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

/** A host with the real decision code of duties, its clocks, and its links to the store, the platform and its peers. */
final class DutyNode {
    private static final long STEP_MILLIS = 150;
    private static final long REPORT_MILLIS = 250;
    private static final long PRESENT_MILLIS = 700;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long LAST_WORD_MILLIS = 400;
    private static final Duration LATE_CALLS = Duration.ofSeconds(13);

    private final DutyRun run;
    final String name;
    private final int power;
    private final Map<String, Heard> peers = new HashMap<>();
    final Set<String> cutFrom = new HashSet<>();
    /** True counts by window and workspace, as servers see them. */
    private final TreeMap<Long, Map<String, Long>> truth;

    private long incarnation;
    private boolean alive;
    private boolean frozen;
    private boolean stopping;
    private boolean ending;
    private long frozenTotal;
    private long frozenAt;
    long clockStep;
    private final List<Runnable> onThaw = new ArrayList<>();

    private MedianClock time;
    private UsageCounter counter;
    private UsageDuty duty;
    private UsageReporter teller;

    private record Heard(long incarnation, DutyAnnouncement word, long at) {}

    DutyNode(DutyRun run, String name, int power, TreeMap<Long, Map<String, Long>> truth) {
        this.run = run;
        this.name = name;
        this.power = power;
        this.truth = truth;
    }

    private final NodeClock clock = new NodeClock() {
        @Override
        public long steadyMillis() {
            return run.bug == DeliberateBug.LEASE_BY_TIME_OF_DAY
                    ? run.now() + clockStep
                    : run.now() - frozenTotal - (frozen ? run.now() - frozenAt : 0);
        }

        @Override
        public long wallClockMillis() {
            return run.bug == DeliberateBug.BLIND_TO_SUSPENSION
                    ? DutyRun.EPOCH + steadyMillis()
                    : run.trueMillis() + clockStep;
        }
    };

    // ---- life

    void start() {
        alive = true;
        frozen = false;
        stopping = false;
        ending = false;
        incarnation = run.random.nextLong();
        peers.clear();
        Duration lease = Duration.ofMillis(DutyRun.LEASE_MILLIS);
        boolean noRest = run.bug == DeliberateBug.RETAKE_AT_ONCE;
        boolean noWait = run.bug == DeliberateBug.NO_WAIT_WITHOUT_FENCE;
        DutySettings terms = new DutySettings(
                name,
                lease,
                noRest ? Duration.ZERO : lease,
                run.fenced,
                noRest || noWait ? Duration.ZERO : LATE_CALLS,
                Duration.ofMillis(DutyRun.WINDOW_MILLIS),
                Duration.ofMillis(DutyRun.LATE_MILLIS));
        time = MedianClock.of(clock);
        counter = UsageCounter.of(terms, time, incarnation);
        duty = UsageDuty.of(terms, clock, time, new Port(), run.random, new Notes(), counter, incarnation);
        teller = UsageReporter.of(terms, clock, time, run.random, counter);
        repeat(incarnation, STEP_MILLIS, this::step);
        repeat(incarnation, REPORT_MILLIS, this::tellPeers);
        repeat(incarnation, 40, this::serve);
    }

    private void repeat(long life, long millis, Runnable task) {
        run.after(
                millis - run.between(0, 10),
                () -> whenAwake(life, () -> {
                    task.run();
                    repeat(life, millis, task);
                }));
    }

    /** Runs a task of one run of the process: now, after the host has woken, or never. */
    private void whenAwake(long life, Runnable task) {
        if (!alive || life != incarnation) {
            return;
        }
        if (frozen) {
            onThaw.add(() -> whenAwake(life, task));
        } else {
            task.run();
        }
    }

    void kill() {
        alive = false;
        frozen = false;
        onThaw.clear();
    }

    boolean running() {
        return alive && !frozen;
    }

    boolean up() {
        return alive;
    }

    void freeze() {
        if (running()) {
            frozen = true;
            frozenAt = run.now();
        }
    }

    void thaw() {
        if (frozen) {
            frozen = false;
            frozenTotal += run.now() - frozenAt;
            List<Runnable> waiting = List.copyOf(onThaw);
            onThaw.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** A planned stop: gives the duty back, goes on serving for a while, tells its last counts, ends. */
    void stop(long afterMillis) {
        if (!running()) {
            return;
        }
        stopping = true;
        duty.stop();
        long life = incarnation;
        run.after(afterMillis, () -> whenAwake(life, () -> ending = true));
        run.after(afterMillis + LAST_WORD_MILLIS, () -> whenAwake(life, this::kill));
    }

    boolean holds() {
        return alive && duty != null && duty.fencingToken() > 0;
    }

    // ---- what it does

    private void serve() {
        if (!ending && run.chance(0.5)) {
            String workspace = "w" + run.between(0, 4);
            counter.recordStart(workspace);
            truth.computeIfAbsent(Math.floorDiv(run.trueMillis(), DutyRun.WINDOW_MILLIS), window -> new TreeMap<>())
                    .merge(workspace, 1L, Long::sum);
        }
    }

    private List<DutyPeer> others() {
        List<DutyPeer> others = new ArrayList<>();
        peers.forEach((peer, last) -> others.add(new DutyPeer(
                peer, last.incarnation(), clock.steadyMillis() - last.at() <= PRESENT_MILLIS, last.word())));
        return others;
    }

    private void step() {
        peers.values().removeIf(last -> clock.steadyMillis() - last.at() > 30_000);
        List<DutyPeer> others = others();
        duty.tick(others, stopping ? 0 : power);
        UsageReporter.findHolder(others).ifPresent(holder -> {
            long counted = teller.startedRequests();
            if (duty.fencingToken() == 0) {
                teller.pollReport(holder, others.size() + 1, ending).ifPresent(report -> tell(holder, report, counted));
            }
        });
    }

    private void tell(DutyPeer holder, UsageReport report, long counted) {
        long life = incarnation;
        DutyNode to = run.nodes.stream()
                .filter(node -> node.name.equals(holder.name()))
                .findFirst()
                .orElseThrow();
        OptionalLong[] answer = {OptionalLong.empty()};
        run.after(run.between(1, 8), () -> {
            if (reaches(to) && to.running()) {
                answer[0] = to.duty.acceptReport(report);
            }
        });
        run.after(
                20,
                () -> whenAwake(life, () -> {
                    if (answer[0].isPresent() && to.reaches(this)) {
                        teller.acknowledged(
                                holder.announcement().fencingToken(), report, counted, answer[0].getAsLong());
                    } else {
                        teller.failed();
                    }
                }));
    }

    private boolean reaches(DutyNode to) {
        return !cutFrom.contains(to.name) && !to.cutFrom.contains(name);
    }

    private void tellPeers() {
        DutyAnnouncement word = new DutyAnnouncement(
                clock.wallClockMillis(), duty.preference(stopping || turnedAway() ? 0 : power), duty.fencingToken());
        for (DutyNode peer : run.nodes) {
            if (peer != this && peer.alive && reaches(peer) && !run.chance(0.01)) {
                long told = incarnation;
                long life = peer.incarnation;
                run.after(
                        run.between(1, 10),
                        () -> peer.whenAwake(life, () -> {
                            peer.peers.put(name, new Heard(told, word, peer.clock.steadyMillis()));
                            peer.time.recordPeerTime(name, word.wallClockMillis());
                        }));
            }
        }
    }

    private boolean turnedAway() {
        return run.store.turnedAway.contains(name);
    }

    // ---- its calls

    private final class Port implements DutyClient {
        /** Returns what takes the answer of a call that is made now: the first one, or none if its time is up before. */
        private <T> Consumer<CallOutcome<T>> onceInTime(Consumer<CallOutcome<T>> done) {
            long life = incarnation;
            boolean[] over = {false};
            Consumer<CallOutcome<T>> once = reply -> whenAwake(life, () -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(reply);
                }
            });
            run.after(TIMEOUT_MILLIS, () -> once.accept(new CallOutcome.Unknown<>("no answer in time")));
            return once;
        }

        /** Makes a call of the store: it may be lost on either way, or be carried out late. */
        private <T> void call(Supplier<T> work, Consumer<CallOutcome<T>> done) {
            Consumer<CallOutcome<T>> once = onceInTime(done);
            DutyStoreModel store = run.store;
            if (store.down || turnedAway()) {
                return;
            }
            long there = run.between(1, 6) + store.slowMillis;
            boolean late = run.chance(store.lateShare);
            boolean lost = late || run.chance(store.lostShare);
            run.after(late ? run.between(1_000, 6_000) : there, () -> {
                if (store.down) {
                    return;
                }
                T result = work.get();
                if (!lost) {
                    run.after(run.between(1, 6), () -> once.accept(new CallOutcome.Completed<>(result)));
                }
            });
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<CallOutcome<Long>> callback) {
            call(() -> run.store.lease(ttlMillis), callback);
        }

        @Override
        public void claim(
                String claim, long leaseId, List<String> recentHolders, Consumer<CallOutcome<Boolean>> callback) {
            call(() -> run.store.claim(claim, leaseId, recentHolders), callback);
        }

        @Override
        public void renewLease(long leaseId, Consumer<CallOutcome<Boolean>> callback) {
            call(() -> run.store.renew(leaseId, DutyRun.LEASE_MILLIS), callback);
        }

        @Override
        public void revokeLease(long leaseId) {
            call(
                    () -> {
                        run.store.endLease(leaseId);
                        return true;
                    },
                    reply -> {});
        }

        @Override
        public void readRecord(Consumer<CallOutcome<DutyRecord>> callback) {
            call(run.store::read, callback);
        }

        @Override
        public void commitUsage(
                long fencingToken,
                UsageCounts counts,
                long pruneThrough,
                Consumer<CallOutcome<CommitResult>> callback) {
            if (run.bug == DeliberateBug.NO_FREEZE_OF_COUNTS) {
                call(CommitResult.Committed::new, callback);
                return;
            }
            Function<UsageCounts, CommitResult> before = CommitResult.AlreadyCommitted::new;
            call(
                    () -> run.store.stands(fencingToken)
                            ? run.store.fix(counts, pruneThrough).map(before).orElseGet(CommitResult.Committed::new)
                            : new CommitResult.NotHolder(),
                    callback);
        }

        @Override
        public void saveReports(long fencingToken, List<UsageReport> reports, Consumer<CallOutcome<Boolean>> callback) {
            call(
                    () -> {
                        boolean stands = run.store.stands(fencingToken);
                        if (stands) {
                            run.store.save(reports);
                        }
                        return stands;
                    },
                    callback);
        }

        @Override
        public void release(long fencingToken, List<UsageReport> reports, Runnable callback) {
            call(
                    () -> {
                        if (run.store.stands(fencingToken)) {
                            run.store.save(reports);
                            run.store.release();
                        }
                        return true;
                    },
                    reply -> callback.run());
        }

        @Override
        public void reportUsage(long fencingToken, UsageCounts counts, Consumer<CallOutcome<ReportResult>> callback) {
            long sent = run.bug == DeliberateBug.NO_FENCE ? 1 : fencingToken;
            if (!run.store.stands(fencingToken)) {
                run.fail(name + " reports with token " + fencingToken + " though its lease has ended");
            }
            Consumer<CallOutcome<ReportResult>> once = onceInTime(callback);
            UsageAddressModel address = run.address;
            if (address.down || address.cutOff.contains(name)) {
                return;
            }
            if (run.chance(address.lateShare)) {
                run.after(run.between(2_000, 12_000), () -> address.report(name, sent, counts));
                return;
            }
            boolean lost = run.chance(address.unansweredShare);
            run.after(run.between(1, 10), () -> {
                ReportResult reported = address.report(name, sent, counts);
                if (!lost) {
                    run.after(run.between(1, 10), () -> once.accept(new CallOutcome.Completed<>(reported)));
                }
            });
        }
    }

    /** What happens to the duty, in the run's log. */
    private final class Notes implements DutyListener {
        @Override
        public void dutyAcquired(long fencingToken) {
            run.note(name + " holds with token " + fencingToken);
        }

        @Override
        public void dutyLost(long fencingToken, String reason) {
            run.note(name + " lost token " + fencingToken + ": " + reason);
        }

        @Override
        public void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes) {
            run.note(name + " fixed " + counts + ", heard " + completeNodes + " of " + knownNodes);
        }

        @Override
        public void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis) {
            run.note(name + " reported window " + counts.window() + " with token " + fencingToken + ": " + outcome);
        }

        @Override
        public void windowMissed(long window, String reason) {
            run.note(name + " missed window " + window + ": " + reason);
        }
    }
}
