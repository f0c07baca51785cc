package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates gateways with workspace shares in front of a service of limited capacity, with late and lost reports.
 *
 * <p>The service admits requests by rank as long as it has capacity, regardless of their size, and refuses the others.
 */
final class ShareSimulation {
    private static final long STEP_MILLIS = 50;
    private static final long REPORT_MILLIS = 250;
    /** Work that the service can admit at once, in seconds of its capacity. */
    private static final double BURST_SECONDS = 0.3;
    /** Number of the largest requests that the service can admit at once, however small its capacity. */
    private static final int MIN_BURST_REQUESTS = 3;

    static final String SERVICE = "model";

    /** Draws the arrivals, which are the same with and without shares. */
    private final Random arrivalRandom;

    private final Random random;
    private final List<WorkspaceShares> gateways = new ArrayList<>();
    private final List<Load> loads;
    private final double capacityPerSecond;
    private final double burst;
    private final int lastRank;
    private final Network network;
    private final boolean refuses;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis));
    private final List<Outcome> outcomes = new ArrayList<>();
    private double available;
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
            long seed, int gatewayCount, double capacityPerSecond, Network network, boolean refuses, List<Load> loads) {
        this.refuses = refuses;
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
            gateways.add(WorkspaceShares.create());
        }
    }

    /** Runs loads for a time and returns the outcomes of all requests. */
    static List<Outcome> run(
            long seed, int gatewayCount, double capacityPerSecond, Network network, List<Load> loads, long millis) {
        return new ShareSimulation(seed, gatewayCount, capacityPerSecond, network, true, loads).outcomes(millis);
    }

    /** Runs loads without refusals by share, to compare with. */
    static List<Outcome> runWithoutShares(
            long seed, int gatewayCount, double capacityPerSecond, Network network, List<Load> loads, long millis) {
        return new ShareSimulation(seed, gatewayCount, capacityPerSecond, network, false, loads).outcomes(millis);
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

    private End end(WorkspaceShares shares, WorkspaceShares.Ask ask) {
        shares.recordAsked(ask, nowMillis);
        if (refuses && shares.excess(ask, nowMillis, random::nextDouble).isPresent()) {
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
            List<WorkspaceUses> report = gateways.get(from).nextReport(gateways.size() - 1, nowMillis);
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
            gateways.get(delivery.to()).accept("g" + delivery.from(), delivery.report(), nowMillis);
        }
    }
}
