package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Checks that urgent requests aren't lost while less urgent ones begin: in five calm seconds, no kind may lose ten of
 * its requests and over a twelfth of them while less urgent requests of over twice their size begin at the same
 * service.
 *
 * <p>Seconds in which engines are down or gateways restart, and the time until all nodes have heard of each other again,
 * aren't calm.
 */
final class UrgentLosses {
    private static final double WINDOW_MILLIS = 5_000;
    private static final double STEP_MILLIS = 500;
    private static final double CONTACT_MILLIS = 3_000;
    private static final int MIN_LOST_REQUESTS = 10;
    private static final double MAX_LOST_SHARE = 1.0 / 12;
    private static final double MIN_SIZE_RATIO = 2;

    private final FleetScenario scenario;
    private final Map<String, List<RequestOutcome>> outcomesByKind;

    private UrgentLosses(FleetScenario scenario, List<RequestOutcome> outcomes) {
        this.scenario = scenario;
        this.outcomesByKind = outcomes.stream()
                .filter(outcome -> outcome.result() != RequestOutcome.Result.CRASHED)
                .collect(Collectors.groupingBy(RequestOutcome::kind, TreeMap::new, Collectors.toList()));
    }

    /** Returns the first window of each kind in which too many of its requests are lost. */
    static List<String> find(FleetScenario scenario, List<RequestOutcome> outcomes) {
        return new UrgentLosses(scenario, outcomes).find();
    }

    private List<String> find() {
        List<String> found = new ArrayList<>();
        double lastStartMillis = scenario.durationSeconds() * 1_000.0 - WINDOW_MILLIS;
        for (List<RequestOutcome> ofKind : outcomesByKind.values()) {
            for (double fromMillis = 0; fromMillis <= lastStartMillis; fromMillis += STEP_MILLIS) {
                String loss = calm(fromMillis) ? loss(ofKind, fromMillis) : "";
                if (!loss.isEmpty()) {
                    found.add(loss);
                    break;
                }
            }
        }
        return found;
    }

    private boolean calm(double fromMillis) {
        return scenario.outages().stream()
                        .noneMatch(outage -> disturbed(outage.fromSeconds(), outage.toSeconds(), fromMillis))
                && scenario.restarts().stream()
                        .noneMatch(restart -> disturbed(restart.atSeconds(), restart.atSeconds(), fromMillis));
    }

    private static boolean disturbed(double fromSeconds, double toSeconds, double windowFromMillis) {
        return fromSeconds * 1_000 < windowFromMillis + WINDOW_MILLIS
                && toSeconds * 1_000 + CONTACT_MILLIS > windowFromMillis;
    }

    /** Returns a description of the loss in the window that starts at a time; empty if it is small enough. */
    private String loss(List<RequestOutcome> ofKind, double fromMillis) {
        List<RequestOutcome> requested = ofKind.stream()
                .filter(outcome -> inWindow(outcome.requestedAtMillis(), fromMillis))
                .toList();
        long lost = requested.stream().filter(outcome -> !outcome.served()).count();
        if (lost < MIN_LOST_REQUESTS || lost <= MAX_LOST_SHARE * requested.size()) {
            return "";
        }
        for (List<RequestOutcome> other : outcomesByKind.values()) {
            long begun = other.stream()
                    .filter(outcome -> inWindow(outcome.startedAtMillis(), fromMillis))
                    .count();
            if (other.getFirst().rank() > ofKind.getFirst().rank()
                    && meanTokens(other) > MIN_SIZE_RATIO * meanTokens(ofKind)
                    && begun > 0) {
                return String.format(
                        Locale.ROOT,
                        "%d of %d requests of %s lost in 5 s from %.1f s, while %d of %s began",
                        lost,
                        requested.size(),
                        ofKind.getFirst().kind(),
                        fromMillis / 1_000,
                        begun,
                        other.getFirst().kind());
            }
        }
        return "";
    }

    private static boolean inWindow(double timeMillis, double fromMillis) {
        return timeMillis >= fromMillis && timeMillis < fromMillis + WINDOW_MILLIS;
    }

    private static double meanTokens(List<RequestOutcome> ofKind) {
        return ofKind.stream().mapToInt(RequestOutcome::inputTokens).average().orElse(0);
    }
}
