package org.tanagerhinge.bench.fleet;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tanagerhinge.core.relay.Mechanism;

/** Plays the model's scenes and prints what they bring; with a mechanism switched off each, if asked for. */
public final class FleetExperiment {
    /** Mechanisms that the model's gateways have; the others answer faults that it doesn't play. */
    private static final Set<Mechanism> MODELLED = EnumSet.of(
            Mechanism.LANES,
            Mechanism.LANE_OVERFLOW,
            Mechanism.READING_ORDER,
            Mechanism.RANK_GATE,
            Mechanism.PREFIX_MEMORY,
            Mechanism.PREFIX_HOMES,
            Mechanism.HOLDERS_ONLY,
            Mechanism.URGENT_LANE,
            Mechanism.ADMISSION,
            Mechanism.FETCH,
            Mechanism.PEER_LOAD);

    private FleetExperiment() {}

    /**
     * Plays all scenes.
     *
     * @param seed of the first run
     * @param repeats runs of each, with the seeds that follow
     * @param ablation whether each mechanism is switched off in turn
     */
    public static int run(long seed, int repeats, boolean ablation) {
        for (FleetScene scene : List.of(FleetScene.manyPlaces(), FleetScene.fewPlaces(), FleetScene.ownParts())) {
            row(scene, seed, repeats, Set.of());
            if (ablation) {
                for (Mechanism mechanism : MODELLED) {
                    row(scene, seed, repeats, Set.of(mechanism));
                }
            }
        }
        return 0;
    }

    private static void row(FleetScene scene, long seed, int repeats, Set<Mechanism> off) {
        double sum = 0;
        double least = 1;
        double most = 0;
        double again = 0;
        FleetResult last = null;
        int runs = Math.max(1, repeats);
        for (int i = 0; i < runs; i++) {
            last = FleetModel.play(scene, seed + i, off);
            sum += last.credit();
            least = Math.min(least, last.credit());
            most = Math.max(most, last.credit());
            again += last.readAgain() / 1e6;
        }
        System.out.printf(
                Locale.ROOT,
                "%s, off: %s, runs %d: credit %.3f (%.3f to %.3f), %.1f M tokens read again%n",
                scene.name(),
                off.isEmpty() ? "nothing" : off,
                runs,
                sum / runs,
                least,
                most,
                again / runs);
        if (off.isEmpty()) {
            System.out.print(last.text());
        }
    }
}
