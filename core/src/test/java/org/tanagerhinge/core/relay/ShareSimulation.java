package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Simulates gateways with workspace shares in front of a service of limited capacity, with late and lost reports.
 *
 * <p>A plain service admits requests by rank as long as it has capacity, regardless of their size, and refuses the
 * others. A model engine queues requests, which the gateways admit by {@link AdmissionPolicy} with its expected wait.
 */
final class ShareSimulation {
    private static final long STEP_MILLIS = 50;
    private static final long REPORT_MILLIS = 250;
    /** Work that the service can admit at once, in seconds of its capacity. */
    private static final double BURST_SECONDS = 0.3;
    /** Number of the largest requests that the service can admit at once, however small its capacity. */
    private static final int MIN_BURST_REQUESTS = 3;

    static final String SERVICE = "model";
    private static final long TARGET_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final ServiceConfig ENGINES = ServiceConfig.of(SERVICE, 300, 48, 300_000);
    private static final ServerInstance ENGINE = ServerInstance.of(
            new ServerRegistration("a", 0, "v1", SERVICE, new InetSocketAddress("127.0.0.1", 1), "north", 48, false));

    /** Draws the arrivals, which are the same with and without shares. */
    private final Random arrivalRandom;

    private final Random random;
    private final List<AdmissionPolicy> gateways = new ArrayList<>();
    private final List<Load> loads;
    private final double capacityPerSecond;
    private final double burst;
    private final int lastRank;
    private final Network network;
    private final boolean refuses;
    private final boolean engine;
    private final RelayConfig config;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis));
    private final List<Outcome> outcomes = new ArrayList<>();
    private double available;
    private double queuedWork;
    private long nowMillis;

    /**
     * A stream of requests of one workspace.
     *
     * @param gatewaySkew 0 if the requests are spread evenly over all gateways, 1 if all arrive at the first
     * @param startMillis when the workspace begins to send
     */
    record Load(
            String workspace,
            int rank,
            double requestsPerSecond,
            double minWork,
            double maxWork,
            double gatewaySkew,
            long startMillis) {
        static Load of(String workspace, double requestsPerSecond) {
            return new Load(workspace, 0, requestsPerSecond, 100, 100, 0, 0);
        }

        private double mean(long nowMillis) {
            return nowMillis < startMillis ? 0 : requestsPerSecond * STEP_MILLIS / 1_000.0;
        }

        double workPerSecond() {
            return requestsPerSecond * (minWork + maxWork) / 2;
        }
    }

    /** Delay and loss of reports between gateways. */
    record Network(long maxDelayMillis, double lossFraction, boolean silent) {
        static final Network GOOD = new Network(50, 0, false);
        static final Network SILENT = new Network(0, 1, true);
    }

    private record Delivery(long atMillis, int from, int to, List<WorkspaceUses> report) {}

    private record Arrival(int gateway, WorkspaceShares.Ask ask) {}

    /** What became of a request. */
    enum End {
        SERVED,
        OVER_SHARE,
        SERVICE_FULL
    }

    record Outcome(long atMillis, WorkspaceShares.Ask ask, End end) {}

    private ShareSimulation(
            long seed,
            int gatewayCount,
            double capacityPerSecond,
            Network network,
            boolean refuses,
            boolean engine,
            List<Load> loads) {
        this.refuses = refuses;
        this.engine = engine;
        this.arrivalRandom = new Random(seed);
        this.random = new Random(~seed);
        this.capacityPerSecond = capacityPerSecond;
        this.network = network;
        this.loads = loads;
        this.lastRank = loads.stream().mapToInt(Load::rank).max().orElse(0);
        this.burst = Math.max(
                capacityPerSecond * BURST_SECONDS,
                MIN_BURST_REQUESTS
                        * loads.stream().mapToDouble(Load::maxWork).max().orElse(0));
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(AdmissionPolicy.without(refuses ? Set.of() : Set.of(Mechanism.WORKSPACE_SHARES)));
        }
        this.config = RelayConfig.of(
                1,
                IntStream.rangeClosed(0, lastRank)
                        .mapToObj(ShareSimulation::route)
                        .toList(),
                List.of(ENGINES),
                Map.of("key", new WorkspaceConfig("w", OptionalInt.empty())),
                CallerLimits.DEFAULT);
    }

    /** Runs loads for a time and returns the outcomes of all requests. */
    static List<Outcome> run(
            long seed, int gatewayCount, double capacityPerSecond, Network network, List<Load> loads, long millis) {
        return new ShareSimulation(seed, gatewayCount, capacityPerSecond, network, true, false, loads).outcomes(millis);
    }

    /** Runs loads without refusals by share, to compare with. */
    static List<Outcome> runWithoutShares(
            long seed, int gatewayCount, double capacityPerSecond, Network network, List<Load> loads, long millis) {
        return new ShareSimulation(seed, gatewayCount, capacityPerSecond, network, false, false, loads)
                .outcomes(millis);
    }

    /** Runs loads at a model engine. */
    static List<Outcome> runAtEngine(
            long seed, int gatewayCount, double capacityPerSecond, Network network, List<Load> loads, long millis) {
        return new ShareSimulation(seed, gatewayCount, capacityPerSecond, network, true, true, loads).outcomes(millis);
    }

    private static Route route(int rank) {
        return new Route(
                "r" + rank,
                "h",
                "/",
                RouteKind.STREAM,
                true,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                TIMEOUT_MILLIS,
                TARGET_MILLIS,
                0,
                rank,
                false,
                true);
    }

    private List<Outcome> outcomes(long millis) {
        while (nowMillis < millis) {
            step();
        }
        return outcomes;
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        available = Math.min(burst, available + capacityPerSecond * STEP_MILLIS / 1_000.0);
        queuedWork = Math.max(0, queuedWork - capacityPerSecond * STEP_MILLIS / 1_000.0);
        deliver();
        List<Arrival> arrivals = arrivals();
        arrivals.forEach(this::process);
        if (nowMillis % REPORT_MILLIS == 0 && !network.silent()) {
            sendReports();
        }
    }

    private List<Arrival> arrivals() {
        List<Arrival> arrivals = new ArrayList<>();
        for (Load load : loads) {
            for (int count = poisson(load.mean(nowMillis)); count > 0; count--) {
                int gateway =
                        arrivalRandom.nextDouble() < load.gatewaySkew() ? 0 : arrivalRandom.nextInt(gateways.size());
                double work = load.minWork() + arrivalRandom.nextDouble() * (load.maxWork() - load.minWork());
                arrivals.add(new Arrival(
                        gateway,
                        new WorkspaceShares.Ask(
                                SERVICE, load.rank(), load.rank() == lastRank, load.workspace(), work)));
            }
        }
        Collections.shuffle(arrivals, arrivalRandom);
        arrivals.sort(Comparator.comparingInt(arrival -> arrival.ask().rank()));
        return arrivals;
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = arrivalRandom.nextDouble(); product > limit; product *= arrivalRandom.nextDouble()) {
            count++;
        }
        return count;
    }

    private void process(Arrival arrival) {
        outcomes.add(new Outcome(nowMillis, arrival.ask(), end(gateways.get(arrival.gateway()), arrival.ask())));
    }

    private End end(AdmissionPolicy policy, WorkspaceShares.Ask ask) {
        return engine ? endAtEngine(policy, ask) : endAtPlainServer(policy.shares(), ask);
    }

    private End endAtEngine(AdmissionPolicy policy, WorkspaceShares.Ask ask) {
        int tokens = (int) ask.work();
        AdmissionPolicy.Request request = new AdmissionPolicy.Request(
                config,
                new PlacementRequest(route(ask.rank()), ENGINES, Prompt.of(tokens, 0, List.of()), "north"),
                Optional.of(new WorkspaceConfig(ask.workspace(), OptionalInt.empty())),
                TIMEOUT_MILLIS);
        double prefillMillis = 1_000 * tokens / capacityPerSecond;
        double waitMillis = 1_000 * queuedWork / capacityPerSecond + prefillMillis;
        PlacementPolicy.Decision decision =
                new PlacementPolicy.Decision(ENGINE, tokens, 0, false, waitMillis, prefillMillis, Optional.empty());
        Optional<AdmissionPolicy.Rejection> rejection =
                policy.rejection(request, decision, nowMillis, random::nextDouble);
        if (rejection.isEmpty()) {
            queuedWork += tokens;
            return End.SERVED;
        }
        return rejection.get().reason() == AdmissionPolicy.Reason.OVER_SHARE ? End.OVER_SHARE : End.SERVICE_FULL;
    }

    private End endAtPlainServer(WorkspaceShares shares, WorkspaceShares.Ask ask) {
        shares.recordAsked(ask, nowMillis);
        if (refuses && shares.excess(ask, 1, nowMillis, random::nextDouble).isPresent()) {
            return End.OVER_SHARE;
        }
        if (available <= 0) {
            shares.recordShort(ask.service(), nowMillis);
            return End.SERVICE_FULL;
        }
        available -= ask.work();
        shares.recordAdmitted(ask, nowMillis);
        return End.SERVED;
    }

    private void sendReports() {
        for (int from = 0; from < gateways.size(); from++) {
            List<WorkspaceUses> report = gateways.get(from).shares().nextReport(gateways.size() - 1, nowMillis);
            for (int to = 0; to < gateways.size(); to++) {
                if (to != from && random.nextDouble() >= network.lossFraction()) {
                    long delayMillis = random.nextLong(network.maxDelayMillis() + 1);
                    deliveries.add(new Delivery(nowMillis + delayMillis, from, to, report));
                }
            }
        }
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nowMillis) {
            Delivery delivery = deliveries.poll();
            gateways.get(delivery.to()).shares().accept("g" + delivery.from(), delivery.report(), nowMillis);
        }
    }
}
