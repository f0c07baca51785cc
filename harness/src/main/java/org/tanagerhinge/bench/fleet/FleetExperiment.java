package org.tanagerhinge.bench.fleet;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tanagerhinge.core.relay.Mechanism;

/** Runs the fleet scenarios and prints their results, optionally with each mechanism disabled in turn. */
public final class FleetExperiment {
    /** Mechanisms that the simulated gateways use; the others handle faults that are not simulated. */
    private static final Set<Mechanism> SIMULATED_MECHANISMS = EnumSet.of(
            Mechanism.LANES,
            Mechanism.LANE_OVERFLOW,
            Mechanism.READING_ORDER,
            Mechanism.RANK_GATE,
            Mechanism.PREFIX_MEMORY,
            Mechanism.PREFIX_HOMES,
            Mechanism.HOLDERS_ONLY,
            Mechanism.URGENT_LANE,
            Mechanism.ADMISSION,
            Mechanism.RETRY_SCHEDULE,
            Mechanism.FETCH,
            Mechanism.PEER_LOAD);

    private FleetExperiment() {}

    /**
     * Runs scenarios and prints their results.
     *
     * @param names names of the scenarios; empty for all
     * @param seed seed of the first run
     * @param repeats number of runs per scenario, with consecutive seeds
     * @param ablation whether to repeat the runs with each mechanism disabled in turn
     */
    public static int run(List<String> names, long seed, int repeats, boolean ablation) {
        for (FleetScenario scenario : scenarios(names)) {
            printResult(scenario, seed, repeats, Set.of());
            if (ablation) {
                for (Mechanism mechanism : SIMULATED_MECHANISMS) {
                    printResult(scenario, seed, repeats, Set.of(mechanism));
                }
            }
        }
        return 0;
    }

    private static List<FleetScenario> scenarios(List<String> names) {
        List<FleetScenario> all = List.of(
                FleetScenario.manySlots(),
                FleetScenario.fewSlots(),
                FleetScenario.ownParts(),
                TargetWorkloads.uneven(),
                TargetWorkloads.crowded());
        List<String> known = all.stream().map(FleetScenario::name).toList();
        if (!known.containsAll(names)) {
            throw new IllegalArgumentException("fleet scenarios are " + known + ", not " + names);
        }
        return all.stream()
                .filter(scenario -> names.isEmpty() || names.contains(scenario.name()))
                .toList();
    }

    private static void printResult(FleetScenario scenario, long seed, int repeats, Set<Mechanism> disabled) {
        double creditSum = 0;
        double minCredit = 1;
        double maxCredit = 0;
        double repeatedPrefillMillions = 0;
        double servedShareOfCameBack = 0;
        FleetResult last = null;
        int runs = Math.max(1, repeats);
        for (int i = 0; i < runs; i++) {
            last = FleetModel.simulate(scenario, seed + i, disabled);
            creditSum += last.credit();
            minCredit = Math.min(minCredit, last.credit());
            maxCredit = Math.max(maxCredit, last.credit());
            servedShareOfCameBack += last.servedShareOfCameBack();
            repeatedPrefillMillions += last.repeatedPrefill() / 1e6;
        }
        System.out.printf(
                Locale.ROOT,
                "%s, disabled: %s, runs %d: credit %.3f (%.3f to %.3f), came back and served %.3f, %.1f M tokens prefilled again%n",
                scenario.name(),
                disabled.isEmpty() ? "nothing" : disabled,
                runs,
                creditSum / runs,
                minCredit,
                maxCredit,
                servedShareOfCameBack / runs,
                repeatedPrefillMillions / runs);
        if (disabled.isEmpty()) {
            System.out.print(last.summary());
        }
    }
}
