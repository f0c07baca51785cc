package org.tanagerhinge.bench.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates gateways that spend one retry budget: requests, failing attempts and retries, reports between the gateways, their
 * registrations in the store, and faults of all these.
 */
final class FleetSimulation {
    static final double RATIO = 0.2;
    static final long WINDOW_MILLIS = 10_000;
    private static final long REPORT_MILLIS = 250;
    static final long LEASE_MILLIS = 12_000;
    static final String SERVICE = "service";

    private static final long STEP_MILLIS = 10;
    private static final long LEAD_MILLIS = 15_000;
    private static final long DURATION_MILLIS = 75_000;
    private static final int MAX_SENDS = 4;
    private static final double LOST_REPORTS = 0.01;

    private record Event(long atMillis, long number, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMillis() != b.atMillis()
            ? Long.compare(a.atMillis(), b.atMillis())
            : Long.compare(a.number(), b.number()));
    private final SplittableRandom random;
    private final ArrivalRecord record;
    private final long seed;
    private final double slack;
    private final double requestsPerSecond;
    private final boolean quiet;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Long> registrations = new HashMap<>();
    private long nowMillis;
    private long nextEvent;
    private long storeDownUntilMillis;
    private long phaseEndsMillis;
    private long burstEndsMillis;
    private long trafficMovesMillis;
    private long nextFaultMillis;
    private long lastFaultMillis;
    private double failingShare;
    private double burstFactor = 1;
    private double pendingRequests;
    private int nextAddress;
    private int maxNodes;
    private int faults;
    private long requests;
    private long wanted;
    private long made;
    private long calmWanted;
    private long calmMade;

    FleetSimulation(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        boolean large = random.nextInt(5) == 0;
        int count = large ? 15 + random.nextInt(30) : 1 + random.nextInt(8);
        this.slack = large ? 100 : 20 + random.nextInt(60);
        this.requestsPerSecond = (large ? 100 : 5) + random.nextInt(large ? 600 : 200);
        this.quiet = random.nextInt(6) == 0;
        this.record = ArrivalRecord.of(RATIO, slack, WINDOW_MILLIS, LEAD_MILLIS + DURATION_MILLIS);
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("10.0.0." + nextAddress++));
        }
    }

    RetrySoak.Result run() {
        for (Host host : List.copyOf(hosts)) {
            after(random.nextInt(300), host::start);
        }
        nextFaultMillis = LEAD_MILLIS + 3_000;
        while (nowMillis < LEAD_MILLIS + DURATION_MILLIS) {
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.poll().action().run();
            }
            if (nowMillis >= LEAD_MILLIS) {
                step();
            }
            nowMillis += STEP_MILLIS;
        }
        return new RetrySoak.Result(
                seed, maxNodes, faults, requests, wanted, made, calmWanted, calmMade, record.worst());
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, nextEvent++, action));
    }

    private boolean calm() {
        return nowMillis - lastFaultMillis > WINDOW_MILLIS;
    }

    // ---- traffic

    private void step() {
        if (nowMillis >= phaseEndsMillis) {
            phaseEndsMillis = nowMillis + 3_000 + random.nextInt(20_000);
            failingShare = random.nextInt(3) == 0 ? 0.1 * random.nextDouble() : 0.3 + 0.7 * random.nextDouble();
        }
        if (nowMillis >= burstEndsMillis) {
            burstEndsMillis = nowMillis + 2_000 + random.nextInt(10_000);
            burstFactor = random.nextBoolean() ? 1 : 0.2 + 3 * random.nextDouble();
        }
        if (nowMillis >= trafficMovesMillis) {
            trafficMovesMillis = nowMillis + 2_000 + random.nextInt(13_000);
            hosts.forEach(host -> host.weight = Math.exp(3 * random.nextDouble()));
        }
        if (!quiet && nowMillis >= nextFaultMillis) {
            nextFaultMillis = nowMillis + 300 + random.nextInt(random.nextInt(4) == 0 ? 12_000 : 2_500);
            lastFaultMillis = nowMillis;
            faults++;
            disturb();
        }
        pendingRequests += requestsPerSecond * burstFactor * STEP_MILLIS / 1_000;
        for (; pendingRequests >= 1; pendingRequests--) {
            record.requestSent(nowMillis);
            Process process = anyProcess();
            if (process != null) {
                after(random.nextInt(5), () -> process.receive(() -> requestArrived(process)));
            }
        }
    }

    private Process anyProcess() {
        List<Host> running = hosts.stream().filter(host -> host.process != null).toList();
        maxNodes = Math.max(maxNodes, running.size());
        double total = running.stream().mapToDouble(host -> host.weight).sum();
        double point = total * random.nextDouble();
        for (Host host : running) {
            point -= host.weight;
            if (point < 0) {
                return host.process;
            }
        }
        return null;
    }

    private void requestArrived(Process process) {
        requests++;
        process.node.recordRequest(nowMillis);
        attempt(process, 1);
    }

    private void attempt(Process process, int number) {
        if (number > 1) {
            long delayMillis = random.nextInt(50) == 0 ? random.nextInt(600) : 1 + random.nextInt(5);
            after(delayMillis, () -> record.retryArrived(nowMillis));
        }
        if (number == MAX_SENDS || random.nextDouble() >= failingShare) {
            return;
        }
        long failsAfterMillis = random.nextBoolean() ? 2 + random.nextInt(10) : random.nextInt(300);
        after(
                failsAfterMillis,
                () -> process.receive(() -> {
                    wanted++;
                    calmWanted += calm() ? 1 : 0;
                    if (process.node.tryTakeRetry(nowMillis)) {
                        made++;
                        calmMade += calm() ? 1 : 0;
                        attempt(process, number + 1);
                    }
                }));
    }

    // ---- faults

    private Host anyHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private List<Host> someHosts() {
        return switch (random.nextInt(4)) {
            case 0 -> List.copyOf(hosts);
            case 1 -> List.of(anyHost());
            default -> hosts.stream().filter(host -> random.nextBoolean()).toList();
        };
    }

    private void disturb() {
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> someHosts().forEach(Host::restart);
            case 3 -> replace(anyHost());
            case 4 -> join(1 + random.nextInt(hosts.size()));
            case 5 -> cut(someHosts(), true, false);
            case 6 -> cut(someHosts(), random.nextBoolean(), true);
            case 7 -> storeDownUntilMillis = nowMillis + 1_000 + random.nextInt(20_000);
            default -> {
                long untilMillis = nowMillis + 500 + random.nextInt(3_000);
                someHosts().forEach(host -> host.frozenUntilMillis = untilMillis);
            }
        }
    }

    private void replace(Host host) {
        host.stop();
        if (hosts.size() > 1) {
            hosts.remove(host);
        }
        after(1_000 + random.nextInt(3_000), () -> join(1));
    }

    private void join(int count) {
        for (int i = 0; i < count && hosts.size() < 60; i++) {
            Host added = new Host("10.0.0." + nextAddress++);
            hosts.add(added);
            added.start();
        }
    }

    /** Cuts hosts off from the others, from the store, or from both. */
    private void cut(List<Host> cutOff, boolean fromPeers, boolean fromStore) {
        long untilMillis = nowMillis + 500 + random.nextInt(random.nextBoolean() ? 6_000 : 45_000);
        int side = faults;
        for (Host host : cutOff) {
            if (fromPeers) {
                host.cutUntilMillis = untilMillis;
                host.side = side;
            }
            if (fromStore) {
                host.storeCutUntilMillis = untilMillis;
            }
        }
    }

    // ---- hosts

    /** A host, on which one process runs at a time. */
    private final class Host {
        private final String address;
        private double weight = 1;
        private Process process;
        private long frozenUntilMillis;
        private long cutUntilMillis;
        private long storeCutUntilMillis;
        private int side;

        Host(String address) {
            this.address = address;
        }

        void start() {
            if (process == null && hosts.contains(this)) {
                process = new Process(this);
                process.start();
            }
        }

        void stop() {
            process = null;
        }

        void restart() {
            stop();
            after(600 + random.nextInt(900), this::start);
        }

        boolean reachesStore() {
            return nowMillis >= storeDownUntilMillis && nowMillis >= storeCutUntilMillis;
        }

        boolean reaches(Host other) {
            int from = nowMillis < cutUntilMillis ? side : 0;
            int to = nowMillis < other.cutUntilMillis ? other.side : 0;
            return from == to;
        }
    }

    /** One life of a gateway. */
    private final class Process {
        private final Host host;
        private final RetryNode node;
        private final Set<String> addresses = new HashSet<>();

        Process(Host host) {
            this.host = host;
            this.node = RetryNode.started(host.address, slack, nowMillis);
        }

        void start() {
            register();
            report();
        }

        private boolean alive() {
            return host.process == this;
        }

        /** Runs an action if the process lives, once its host isn't frozen any more. */
        void receive(Runnable action) {
            if (!alive()) {
                return;
            }
            if (nowMillis < host.frozenUntilMillis) {
                after(host.frozenUntilMillis - nowMillis, () -> receive(action));
            } else {
                action.run();
            }
        }

        private void register() {
            long sentAtMillis = nowMillis;
            after(
                    5 + random.nextInt(100),
                    () -> receive(() -> {
                        if (host.reachesStore()) {
                            registrations.put(host.address, nowMillis + LEASE_MILLIS);
                            node.leaseRenewed(sentAtMillis);
                            list();
                            after(3_000, () -> receive(this::keepAlive));
                        } else {
                            after(500, () -> receive(this::register));
                        }
                    }));
        }

        private void keepAlive() {
            if (!host.reachesStore()) {
                after(1_000, () -> receive(this::keepAlive));
            } else if (registrations.getOrDefault(host.address, 0L) < nowMillis) {
                register();
            } else {
                registrations.put(host.address, nowMillis + LEASE_MILLIS);
                node.leaseRenewed(nowMillis);
                if (node.listingDue(nowMillis)) {
                    list();
                }
                after(3_000, () -> receive(this::keepAlive));
            }
        }

        private void list() {
            registrations.values().removeIf(expiresAtMillis -> expiresAtMillis < nowMillis);
            addresses.addAll(registrations.keySet());
            addresses.remove(host.address);
            node.listed(registrations.keySet(), nowMillis);
            send();
        }

        private void report() {
            send();
            after(REPORT_MILLIS, () -> receive(this::report));
        }

        private void send() {
            for (Host to : hosts) {
                if (addresses.contains(to.address) && host.reaches(to) && random.nextDouble() >= LOST_REPORTS) {
                    after(1 + random.nextInt(20), () -> deliver(to));
                }
            }
        }

        private void deliver(Host to) {
            if (to.process != null) {
                to.process.receive(() -> {
                    to.process.addresses.add(host.address);
                    to.process.node.heard(host.address, nowMillis);
                });
            }
        }
    }
}
