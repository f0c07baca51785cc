package org.tanagerhinge.bench.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.tanagerhinge.bench.capacity.CapacityMeasurement;
import org.tanagerhinge.bench.capacity.LogCost;
import org.tanagerhinge.bench.cluster.LocalCluster.Kind;
import org.tanagerhinge.bench.fleet.FleetExperiment;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.standin.load.ClientOutcome;
import org.tanagerhinge.standin.load.Tally;

/** Runs the experiments from the command line and prints their results. */
@Command(
        name = "bench",
        description =
                "Runs scenarios against the product and its naive version, 'capacity' for cost slopes, 'logs' for the cost of logging,"
                        + " or 'fleet' for a simulation of a large fleet")
public final class BenchMain implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @AirlineModule
    private HelpOption<BenchMain> help;

    @Arguments(
            title = "SCENARIO",
            description = "Names of scenarios, all, capacity, logs, or fleet and names of its scenarios")
    private List<String> names = new ArrayList<>();

    @Option(
            name = {"--seconds"},
            description = "Length of each run in seconds (default: set by the scenario)")
    private int seconds;

    @Option(
            name = {"--repeats"},
            description = "Number of runs of each kind (default: set by the scenario)")
    private int repeats;

    @Option(
            name = {"--seed"},
            description = "Seed of the traffic (default: 1)")
    private long seed = 1;

    @Option(
            name = {"--json"},
            title = "FILE",
            description = "Also write the results to this file")
    private String jsonFile;

    @Option(
            name = {"--only"},
            title = "product|naive",
            description = "Run only this kind")
    private String only;

    @Option(
            name = {"--ablation"},
            description = "With fleet: disable each mechanism in turn")
    private boolean ablation;

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(SingleCommand.singleCommand(BenchMain.class).parse(args).call());
    }

    @Override
    public Integer call() {
        if (help != null && help.showHelpIfRequested()) {
            return 0;
        }
        try {
            if (names.equals(List.of("capacity"))) {
                return CapacityMeasurement.run(jsonFile);
            }
            if (names.equals(List.of("logs"))) {
                return LogCost.run();
            }
            if (!names.isEmpty() && names.getFirst().equals("fleet")) {
                return FleetExperiment.run(names.subList(1, names.size()), seed, repeats, ablation);
            }
            boolean all = names.isEmpty() || names.equals(List.of("all"));
            return runScenarios(all ? ScenarioReader.NAMES : names);
        } catch (TanagerhingeException | IOException | IllegalArgumentException e) {
            System.err.println("bench: " + e.getMessage());
            return 2;
        }
    }

    private int runScenarios(List<String> scenarioNames) throws TanagerhingeException, IOException {
        List<Scenario> scenarios =
                scenarioNames.stream().map(ScenarioReader::read).toList();
        warmUp(scenarios.get(0));
        ArrayNode json = JSON.createArrayNode();
        boolean clean = true;
        for (Scenario scenario : scenarios) {
            Map<Kind, List<Measurement>> measured = measure(scenario);
            print(scenario, measured);
            measured.forEach((kind, list) -> list.forEach(each -> json.add(toJson(scenario, kind, each))));
            clean &= measured.getOrDefault(Kind.PRODUCT, List.of()).stream().allMatch(Measurement::isClean);
        }
        if (jsonFile != null) {
            Files.writeString(Path.of(jsonFile), json.toPrettyString());
        }
        System.out.println(clean ? "product: nothing lost, doubled, mixed up or violated" : "product: NOT CLEAN");
        return clean ? 0 : 1;
    }

    /** Runs a scenario once without recording it, to exclude the cost of loading and compiling the code. */
    private void warmUp(Scenario scenario) throws TanagerhingeException {
        for (Kind kind : Kind.values()) {
            new Experiment(scenario, kind, Duration.ofSeconds(3), seed).run();
        }
    }

    private Map<Kind, List<Measurement>> measure(Scenario scenario) throws TanagerhingeException {
        Map<Kind, List<Measurement>> measured = new EnumMap<>(Kind.class);
        Duration duration = Duration.ofSeconds(seconds > 0 ? seconds : scenario.seconds());
        int runs = repeats > 0 ? repeats : scenario.repeats();
        for (int repeat = 0; repeat < runs; repeat++) {
            for (Kind kind : Kind.values()) {
                if (only == null || only.equalsIgnoreCase(kind.name())) {
                    Measurement measurement = new Experiment(scenario, kind, duration, seed + repeat).run();
                    measured.computeIfAbsent(kind, _ -> new ArrayList<>()).add(measurement);
                }
            }
        }
        return measured;
    }

    private static void print(Scenario scenario, Map<Kind, List<Measurement>> measured) {
        System.out.println();
        System.out.println("== " + scenario.name() + ": " + scenario.title());
        for (Map.Entry<Kind, List<Measurement>> each : measured.entrySet()) {
            String kind = each.getKey().name().toLowerCase(Locale.ROOT);
            int runNumber = 0;
            for (Measurement run : each.getValue()) {
                printMeasurement(kind + " " + ++runNumber, run);
            }
        }
        List<Measurement> product = measured.getOrDefault(Kind.PRODUCT, List.of());
        List<Measurement> naive = measured.getOrDefault(Kind.NAIVE, List.of());
        if (!product.isEmpty() && !naive.isEmpty()) {
            System.out.println("goodput, product to naive: requests " + ratios(product, naive, Measurement::goodput)
                    + ", tokens " + ratios(product, naive, Measurement::goodTokens));
        }
    }

    private static String ratios(
            List<Measurement> product, List<Measurement> naive, ToDoubleFunction<Measurement> figure) {
        double minRatio = Double.MAX_VALUE;
        double maxRatio = 0;
        double ratioSum = 0;
        for (int i = 0; i < product.size(); i++) {
            double ratio = figure.applyAsDouble(product.get(i)) / Math.max(0.01, figure.applyAsDouble(naive.get(i)));
            minRatio = Math.min(minRatio, ratio);
            maxRatio = Math.max(maxRatio, ratio);
            ratioSum += ratio;
        }
        return String.format(Locale.ROOT, "%.2f (%.2f to %.2f)", ratioSum / product.size(), minRatio, maxRatio);
    }

    private static void printMeasurement(String label, Measurement run) {
        System.out.println(String.format(
                Locale.ROOT,
                "%-10s goodput %6.1f/s %8.0f tokens/s  wasted %5.1f%%  lost %d doubled %d mixed %d falsely-not-run %d"
                        + " violations %d  codes %s",
                label,
                run.goodput(),
                run.goodTokens(),
                run.wasted() * 100,
                run.lost(),
                run.doubled(),
                run.mixed(),
                run.falselyNotRun(),
                run.violations(),
                run.codes()));
        run.tallies()
                .forEach((profile, tally) -> System.out.println(String.format(
                        Locale.ROOT,
                        "    %-10s sent %5d  attained %5.1f%%  whole %5d  not run %5d  unknown %4d  cut %3d  first p50/p95"
                                + " %5d/%5d ms  between p95 %3d ms  whole p95 %6d ms",
                        profile,
                        tally.sentCount(),
                        tally.attainment() * 100,
                        tally.count(ClientOutcome.WHOLE),
                        tally.count(ClientOutcome.NOT_RUN),
                        tally.count(ClientOutcome.UNKNOWN),
                        tally.count(ClientOutcome.CUT),
                        tally.first(50).toMillis(),
                        tally.first(95).toMillis(),
                        tally.between(95).toMillis(),
                        tally.whole(95).toMillis())));
    }

    private static ObjectNode toJson(Scenario scenario, Kind kind, Measurement run) {
        ObjectNode node = JSON.createObjectNode();
        node.put("scenario", scenario.name()).put("kind", kind.name().toLowerCase(Locale.ROOT));
        node.put("goodputPerSecond", run.goodput()).put("goodTokensPerSecond", run.goodTokens());
        node.put("wasted", run.wasted()).put("lost", run.lost()).put("doubled", run.doubled());
        node.put("mixed", run.mixed()).put("falselyNotRun", run.falselyNotRun());
        node.put("violations", run.violations());
        ObjectNode codes = node.putObject("codes");
        run.codes().forEach((code, count) -> codes.put(Integer.toString(code), count));
        ObjectNode classes = node.putObject("classes");
        run.tallies().forEach((profile, tally) -> classes.set(profile, toJson(tally)));
        return node;
    }

    private static ObjectNode toJson(Tally tally) {
        return JSON.createObjectNode()
                .put("sent", tally.sentCount())
                .put("attainment", tally.attainment())
                .put("whole", tally.count(ClientOutcome.WHOLE))
                .put("notRun", tally.count(ClientOutcome.NOT_RUN))
                .put("unknown", tally.count(ClientOutcome.UNKNOWN))
                .put("cut", tally.count(ClientOutcome.CUT))
                .put("firstP95Millis", tally.first(95).toMillis())
                .put("betweenP95Millis", tally.between(95).toMillis())
                .put("wholeP95Millis", tally.whole(95).toMillis());
    }
}
