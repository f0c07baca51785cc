package org.tanagerhinge.bench.soak;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.tanagerhinge.bench.duty.DeliberateBug;
import org.tanagerhinge.bench.duty.DutySoak;
import org.tanagerhinge.bench.fleet.FleetSoak;
import org.tanagerhinge.bench.retry.RetrySoak;
import org.tanagerhinge.core.invariant.Invariant;

/** Runs random simulations from the command line and prints the failures and a summary. */
@Command(
        name = "soak",
        description = "Runs the decision code under random faults, one run per seed, and checks its invariants")
public final class SoakMain implements Callable<Integer> {
    private static final int MAX_SHOWN_FAILURES = 5;

    @AirlineModule
    private HelpOption<SoakMain> help;

    @Option(
            name = {"--seeds"},
            description = "Number of seeds to run (default: 200)")
    private int seeds = 200;

    @Option(
            name = {"--first"},
            description = "First seed (default: 1)")
    private long first = 1;

    @Option(
            name = {"--explain"},
            description = "Run one seed and print the event log around its failure")
    private Long explain;

    @Option(
            name = {"--threads"},
            description = "Number of seeds to run in parallel (default: 6)")
    private int threads = 6;

    @Option(
            name = {"--duties"},
            description = "Simulate cluster duties instead of requests")
    private boolean duties;

    @Option(
            name = {"--fleet"},
            description = "Simulate a small fleet of gateways and engines instead of requests")
    private boolean fleet;

    @Option(
            name = {"--gateway-restarts"},
            description = "With --fleet: gateways restart, and only the loss of urgent requests is checked")
    private boolean gatewayRestarts;

    @Option(
            name = {"--retries"},
            description = "Simulate gateways that spend one retry budget instead of requests")
    private boolean retries;

    @Option(
            name = {"--restores"},
            description = "Restore the store from older copies as well")
    private boolean restores;

    @Option(
            name = {"--software-versions"},
            description = "Let engines have several software versions, which change when they crash")
    private boolean softwareVersions;

    @Option(
            name = {"--bug"},
            description = "Inject a deliberate bug, named in lower case, into the runs of duties")
    private String bug = DeliberateBug.NONE.name();

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(SingleCommand.singleCommand(SoakMain.class).parse(args).call());
    }

    @Override
    public Integer call() {
        if (help != null && help.showHelpIfRequested()) {
            return 0;
        }
        if (fleet) {
            return runFleet();
        }
        if (duties) {
            return runDuties();
        }
        if (retries) {
            return runRetries();
        }
        if (explain != null) {
            Soak.explain(explain, variant()).forEach(System.out::println);
            return 0;
        }
        List<Soak.Result> results = Soak.runAll(first, seeds, threads, variant());
        return report(results);
    }

    private Soak.Variant variant() {
        return new Soak.Variant(restores, softwareVersions);
    }

    private int runFleet() {
        if (explain != null) {
            FleetSoak.explain(explain).forEach(System.out::println);
            return 0;
        }
        List<FleetSoak.Result> results =
                gatewayRestarts ? FleetSoak.runAllWithRestarts(first, seeds) : FleetSoak.runAll(first, seeds);
        List<FleetSoak.Result> failed =
                results.stream().filter(result -> !result.passed()).toList();
        failed.stream()
                .limit(MAX_SHOWN_FAILURES)
                .forEach(result -> System.out.println("seed " + result.seed() + " FAILED: " + result.violations()));
        Map<String, Long> counts = new TreeMap<>();
        results.forEach(result -> result.counts().forEach((outcome, count) -> counts.merge(outcome, count, Long::sum)));
        counts.forEach((outcome, count) -> System.out.println("  " + count + "  " + outcome));
        int requests = results.stream().mapToInt(FleetSoak.Result::requests).sum();
        int served = results.stream().mapToInt(FleetSoak.Result::served).sum();
        System.out.println(seeds + " seeds, " + served + " of " + requests + " requests served, " + failed.size()
                + " seeds failed, by bound " + FleetSoak.failuresByBound(results)
                + listOf(failed.stream().map(FleetSoak.Result::seed).toList()));
        return failed.isEmpty() ? 0 : 1;
    }

    private int runRetries() {
        List<RetrySoak.Result> results =
                explain != null ? List.of(RetrySoak.run(explain)) : RetrySoak.runAll(first, seeds);
        List<RetrySoak.Result> failed =
                results.stream().filter(result -> !result.passed()).toList();
        (explain != null ? results : failed).stream().limit(MAX_SHOWN_FAILURES).forEach(System.out::println);
        System.out.println(results.size() + " seeds, "
                + results.stream().mapToInt(RetrySoak.Result::faults).sum() + " faults, "
                + results.stream().mapToLong(RetrySoak.Result::requests).sum() + " requests, "
                + results.stream().mapToLong(RetrySoak.Result::retriesMade).sum() + " of "
                + results.stream().mapToLong(RetrySoak.Result::retriesWanted).sum() + " retries made, "
                + results.stream().mapToLong(RetrySoak.Result::calmRetriesMade).sum() + " of "
                + results.stream()
                        .mapToLong(RetrySoak.Result::calmRetriesWanted)
                        .sum()
                + " without a fault in the window before, " + failed.size() + " seeds failed"
                + listOf(failed.stream().map(RetrySoak.Result::seed).toList()));
        return failed.isEmpty() ? 0 : 1;
    }

    private int runDuties() {
        DeliberateBug chosen = DeliberateBug.valueOf(bug.toUpperCase(Locale.ROOT));
        if (explain != null) {
            DutySoak.explain(explain, chosen, restores).forEach(System.out::println);
            return 0;
        }
        List<DutySoak.Result> results = DutySoak.runAll(first, seeds, chosen, restores);
        results.stream()
                .filter(result -> !result.passed())
                .limit(MAX_SHOWN_FAILURES)
                .forEach(result -> System.out.println("seed " + result.seed() + " FAILED: " + result.failure()));
        long failed = results.stream().filter(result -> !result.passed()).count();
        int faults = results.stream().mapToInt(DutySoak.Result::faults).sum();
        int reports = results.stream().mapToInt(DutySoak.Result::reports).sum();
        System.out.println(seeds + " seeds, " + faults + " faults, " + reports + " reports received, "
                + correctWindows(results, true)
                + " of the windows correct and in time where fencing tokens are enforced, "
                + correctWindows(results, false) + " where not, " + failed + " seeds failed");
        return failed == 0 ? 0 : 1;
    }

    private static String correctWindows(List<DutySoak.Result> results, boolean fencingEnforced) {
        List<DutySoak.Result> chosen = results.stream()
                .filter(result -> result.fencingEnforced() == fencingEnforced)
                .toList();
        return chosen.stream().mapToInt(DutySoak.Result::correctWindows).sum() + " of "
                + chosen.stream().mapToInt(DutySoak.Result::windows).sum();
    }

    private static String listOf(List<Long> failedSeeds) {
        return failedSeeds.isEmpty() ? "" : ": " + failedSeeds;
    }

    private static int report(List<Soak.Result> results) {
        Map<Invariant, Long> checks = new EnumMap<>(Invariant.class);
        Map<String, Long> counts = new TreeMap<>();
        long events = 0;
        long faults = 0;
        long requests = 0;
        long completeAnswers = 0;
        List<Long> failedSeeds = new ArrayList<>();
        for (Soak.Result result : results) {
            events += result.events();
            faults += result.faults();
            requests += result.requests();
            completeAnswers += result.completeAnswers();
            result.checks().forEach((invariant, count) -> checks.merge(invariant, count, Long::sum));
            result.counts().forEach((reason, count) -> counts.merge(reason, count, Long::sum));
            if (!result.passed()) {
                failedSeeds.add(result.seed());
                if (failedSeeds.size() <= MAX_SHOWN_FAILURES) {
                    System.out.println("seed " + result.seed() + " FAILED: " + result.failure());
                }
            }
        }
        System.out.println("event counts:");
        counts.forEach((reason, count) -> System.out.println("  " + count + "  " + reason));
        System.out.println("invariant checks:");
        checks.forEach((invariant, count) -> System.out.println("  " + count + "  " + invariant.label()));
        System.out.println(results.size() + " seeds, " + events + " events, " + faults + " faults, " + requests
                + " calls, " + completeAnswers + " complete answers, " + failedSeeds.size() + " seeds failed"
                + listOf(failedSeeds));
        return failedSeeds.isEmpty() ? 0 : 1;
    }
}
