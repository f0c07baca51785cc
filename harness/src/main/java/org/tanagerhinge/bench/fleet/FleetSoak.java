package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** Runs small random fleet scenarios, one per seed, and checks bounds on how unevenly requests are served. */
public final class FleetSoak {
    /** Time for which runs with restarts go on longer than others, in seconds. */
    private static final int SECONDS_AFTER_RESTARTS = 8;

    private FleetSoak() {}

    /**
     * Describes the result of one run.
     *
     * @param requests requests that callers sent
     * @param served of these, requests that were answered completely
     * @param violations violated bounds and details, empty if none
     * @param counts requests by rank and outcome, and those of the largest tenth of each kind
     */
    public record Result(long seed, int requests, int served, List<String> violations, Map<String, Long> counts) {
        /** Returns whether no bound was violated. */
        public boolean passed() {
            return violations.isEmpty();
        }
    }

    /** Runs one seed; the same seed gives the same run. */
    public static Result run(long seed) {
        FleetResult fleetResult = FleetModel.simulate(draw(seed), seed, Set.of());
        List<RequestOutcome> outcomes = fleetResult.outcomes();
        List<String> violations = new ArrayList<>();
        if (outcomes.size() != fleetResult.requests()) {
            violations.add("OUTCOME " + outcomes.size() + " outcomes of " + fleetResult.requests() + " requests");
        }
        FleetBounds.violations(outcomes)
                .forEach(violation -> violations.add(violation.bound() + " " + violation.detail()));
        int served = (int) outcomes.stream().filter(RequestOutcome::served).count();
        return new Result(seed, fleetResult.requests(), served, violations, counts(outcomes));
    }

    private static Map<String, Long> counts(List<RequestOutcome> outcomes) {
        Map<String, Long> counts = new TreeMap<>();
        for (RequestOutcome outcome : outcomes) {
            counts.merge("rank " + outcome.rank() + " " + describe(outcome), 1L, Long::sum);
        }
        Map<String, List<RequestOutcome>> byKind =
                outcomes.stream().collect(Collectors.groupingBy(RequestOutcome::kind));
        for (List<RequestOutcome> ofKind : byKind.values()) {
            for (RequestOutcome outcome : FleetBounds.largest(ofKind)) {
                counts.merge("largest tenth, rank " + outcome.rank() + " " + describe(outcome), 1L, Long::sum);
            }
        }
        return counts;
    }

    private static String describe(RequestOutcome outcome) {
        return outcome.served() ? "served" : "lost: " + outcome.lossCause();
    }

    /** Runs consecutive seeds in parallel and returns their results in order. */
    public static List<Result> runAll(long firstSeed, int seedCount) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .parallel()
                .mapToObj(FleetSoak::run)
                .toList();
    }

    /** Returns the number of runs in which each bound was violated. */
    public static Map<String, Integer> failuresByBound(List<Result> results) {
        Map<String, Integer> counts = new TreeMap<>();
        results.forEach(result -> result.violations().stream()
                .map(violation -> violation.substring(0, violation.indexOf(' ')))
                .distinct()
                .forEach(bound -> counts.merge(bound, 1, Integer::sum)));
        return counts;
    }

    /** Runs consecutive seeds with restarts of gateways, and checks only that urgent requests aren't lost. */
    public static List<Result> runAllWithRestarts(long firstSeed, int seedCount) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .parallel()
                .mapToObj(FleetSoak::runWithRestarts)
                .toList();
    }

    private static Result runWithRestarts(long seed) {
        FleetScenario drawn = draw(seed);
        FleetScenario longer = drawn.scaledDown(1, drawn.durationSeconds() + SECONDS_AFTER_RESTARTS);
        FleetScenario scenario = longer.withRestarts(drawRestarts(drawn, new SplittableRandom(~seed)));
        FleetResult fleetResult = FleetModel.simulate(scenario, seed, Set.of());
        List<RequestOutcome> outcomes = fleetResult.outcomes();
        List<String> violations = UrgentLosses.find(scenario, outcomes).stream()
                .map(loss -> "URGENT " + loss)
                .toList();
        int served = (int) outcomes.stream().filter(RequestOutcome::served).count();
        return new Result(seed, fleetResult.requests(), served, violations, counts(outcomes));
    }

    /** Draws restarts of some or all gateways, one after the other or at once. */
    private static List<FleetScenario.GatewayRestart> drawRestarts(FleetScenario scenario, SplittableRandom random) {
        int count = random.nextBoolean() ? scenario.gateways() : random.nextInt(1, scenario.gateways() + 1);
        double fromSeconds = random.nextDouble(1, scenario.durationSeconds());
        double gapSeconds = random.nextBoolean() ? 0 : random.nextDouble(0.1, 1);
        return IntStream.range(0, count)
                .mapToObj(index -> new FleetScenario.GatewayRestart(index, fromSeconds + gapSeconds * index))
                .toList();
    }

    /** Runs a seed and returns its scenario, its result and the violated bounds. */
    public static List<String> explain(long seed) {
        FleetScenario scenario = draw(seed);
        List<String> lines = new ArrayList<>();
        lines.add(scenario.toString());
        lines.add(FleetModel.simulate(scenario, seed, Set.of()).summary());
        Result result = run(seed);
        result.counts().forEach((outcome, count) -> lines.add("  " + count + "  " + outcome));
        lines.addAll(result.violations());
        return lines;
    }

    private static FleetScenario draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FleetScenario> bases = List.of(
                FleetScenario.manySlots(),
                FleetScenario.fewSlots(),
                FleetScenario.ownParts(),
                TargetWorkloads.uneven(),
                TargetWorkloads.crowded());
        FleetScenario base =
                bases.get(random.nextInt(bases.size())).scaledDown(random.nextDouble(4, 8), random.nextInt(8, 15));
        return base.withDisturbances(drawBursts(base, random), drawOutages(base, random))
                .withHosts(drawHosts(random))
                .withCallers(drawCallers(base, random));
    }

    private static List<FleetScenario.Burst> drawBursts(FleetScenario base, SplittableRandom random) {
        List<FleetScenario.Burst> bursts = new ArrayList<>();
        for (RequestKind kind : base.kinds()) {
            double fromSeconds = random.nextDouble(base.durationSeconds());
            double toSeconds = fromSeconds + random.nextDouble(1, 8);
            if (random.nextDouble() < 0.7) {
                bursts.add(new FleetScenario.Burst(kind.name(), random.nextDouble(1.5, 8), fromSeconds, toSeconds));
            }
        }
        return bursts;
    }

    private static List<FleetScenario.Outage> drawOutages(FleetScenario base, SplittableRandom random) {
        double fromSeconds = random.nextDouble(base.durationSeconds());
        double toSeconds = fromSeconds + random.nextDouble(0.5, 4);
        return random.nextBoolean()
                ? List.of()
                : List.of(new FleetScenario.Outage(random.nextDouble(0.1, 0.5), fromSeconds, toSeconds));
    }

    private static HostSpeeds drawHosts(SplittableRandom random) {
        List<Double> workTimeFactors =
                random.nextBoolean() ? List.of(1.0) : List.of(random.nextDouble(0.5, 1), 1.2, 1.2, 1.2);
        return new HostSpeeds(
                workTimeFactors, random.nextDouble(1, 3), random.nextDouble(0.3), random.nextDouble(300, 1_500));
    }

    private static Callers drawCallers(FleetScenario base, SplittableRandom random) {
        int workspaces = random.nextInt(4, 25);
        double fromSeconds = random.nextDouble(base.durationSeconds());
        double toSeconds = fromSeconds + random.nextDouble(1, 6);
        Callers.HotWorkspace hot =
                new Callers.HotWorkspace(random.nextInt(workspaces), random.nextDouble(3, 15), fromSeconds, toSeconds);
        return new Callers(
                workspaces,
                random.nextDouble(1.2),
                random.nextBoolean() ? Optional.of(hot) : Optional.empty(),
                random.nextBoolean() ? random.nextDouble(0.5) : 0,
                random.nextDouble(5, 50),
                random.nextInt(2, 30));
    }
}
