package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Checks bounds on how unevenly requests are served.
 *
 * <p>Requests that ended by the crash of their engine aren't considered, since no decision could have served them.
 */
final class FleetBounds {
    /** Requests that a group must have; the share served of a smaller one depends on chance. */
    private static final int MIN_GROUP_REQUESTS = 20;

    private static final double MIN_WORKSPACE_RATIO = 0.25;
    private static final double MIN_KIND_RATIO = 0.25;
    private static final double MIN_SIZE_RATIO = 0.5;
    private static final double LARGEST_SHARE = 0.1;
    private static final double NEXT_LARGEST_SHARE = 0.2;
    private static final double RANK_WINDOW_MILLIS = 5_000;
    private static final double RANK_WINDOW_STEP_MILLIS = 1_000;
    private static final int MIN_LOST_REQUESTS = 10;
    private static final double MIN_LOST_SHARE = 1.0 / 12;
    private static final int MIN_STARTED_RATIO = 2;

    private final List<RequestOutcome> outcomes;
    private final List<Violation> violations = new ArrayList<>();

    private FleetBounds(List<RequestOutcome> outcomes) {
        this.outcomes = outcomes.stream()
                .filter(outcome -> outcome.result() != RequestOutcome.Result.CRASHED)
                .toList();
    }

    /** Names a bound. */
    enum Bound {
        /** No workspace is served less than a quarter as often as all are. */
        WORKSPACE,
        /** The largest tenth of a kind and the fifth below it are served at least half as often as the kind. */
        SIZE,
        /** No kind is served less than a quarter as often as all are. */
        KIND,
        /** In 5 s, no kind loses 10 requests and a twelfth while twice as many of a less urgent kind start. */
        RANK
    }

    /** Describes a violated bound. */
    record Violation(Bound bound, String detail) {}

    /** Returns the bounds that the outcomes of a run violate, each at most once for a group of requests. */
    static List<Violation> violations(List<RequestOutcome> outcomes) {
        FleetBounds bounds = new FleetBounds(outcomes);
        bounds.checkGroups(Bound.WORKSPACE, RequestOutcome::workspace, MIN_WORKSPACE_RATIO);
        bounds.checkGroups(Bound.KIND, RequestOutcome::kind, MIN_KIND_RATIO);
        bounds.byGroup(RequestOutcome::kind).values().forEach(bounds::checkSizes);
        bounds.byGroup(RequestOutcome::kind).values().forEach(bounds::checkRank);
        return bounds.violations;
    }

    private Map<String, List<RequestOutcome>> byGroup(Function<RequestOutcome, String> group) {
        return outcomes.stream().collect(Collectors.groupingBy(group, TreeMap::new, Collectors.toList()));
    }

    private void checkGroups(Bound bound, Function<RequestOutcome, String> group, double minRatio) {
        byGroup(group).forEach((name, members) -> checkServed(bound, name, members, outcomes, minRatio));
    }

    private void checkSizes(List<RequestOutcome> ofKind) {
        List<RequestOutcome> bySize = largestFirst(ofKind);
        int largestEnd = (int) (LARGEST_SHARE * bySize.size());
        int nextEnd = (int) ((LARGEST_SHARE + NEXT_LARGEST_SHARE) * bySize.size());
        String kind = ofKind.getFirst().kind();
        checkServed(Bound.SIZE, kind + ", largest tenth", bySize.subList(0, largestEnd), ofKind, MIN_SIZE_RATIO);
        checkServed(Bound.SIZE, kind + ", fifth below", bySize.subList(largestEnd, nextEnd), ofKind, MIN_SIZE_RATIO);
    }

    /** Returns the largest tenth of the requests of a kind. */
    static List<RequestOutcome> largest(List<RequestOutcome> ofKind) {
        return largestFirst(ofKind).subList(0, (int) (LARGEST_SHARE * ofKind.size()));
    }

    private static List<RequestOutcome> largestFirst(List<RequestOutcome> ofKind) {
        return ofKind.stream()
                .sorted(Comparator.comparingInt(RequestOutcome::inputTokens).reversed())
                .toList();
    }

    private void checkServed(
            Bound bound, String name, List<RequestOutcome> members, List<RequestOutcome> all, double minRatio) {
        double share = servedShare(members);
        double shareOfAll = servedShare(all);
        if (members.size() >= MIN_GROUP_REQUESTS && share < minRatio * shareOfAll) {
            violations.add(new Violation(
                    bound,
                    String.format(
                            Locale.ROOT,
                            "%s: %.3f of %d requests served, %.3f of all",
                            name,
                            share,
                            members.size(),
                            shareOfAll)));
        }
    }

    private static double servedShare(List<RequestOutcome> members) {
        return members.stream().filter(RequestOutcome::served).count() / (double) members.size();
    }

    private void checkRank(List<RequestOutcome> ofKind) {
        double endMillis = outcomes.stream()
                .mapToDouble(RequestOutcome::endedAtMillis)
                .max()
                .orElse(0);
        for (double fromMillis = 0; fromMillis < endMillis; fromMillis += RANK_WINDOW_STEP_MILLIS) {
            if (checkRank(ofKind, fromMillis)) {
                return;
            }
        }
    }

    /** Checks the window that starts at a time; returns whether it violates the bound. */
    private boolean checkRank(List<RequestOutcome> ofKind, double fromMillis) {
        long requests = count(ofKind, outcome -> inWindow(outcome.requestedAtMillis(), fromMillis));
        long lost = count(ofKind, outcome -> !outcome.served() && inWindow(outcome.endedAtMillis(), fromMillis));
        if (lost < MIN_LOST_REQUESTS || lost < MIN_LOST_SHARE * requests) {
            return false;
        }
        for (List<RequestOutcome> other : byGroup(RequestOutcome::kind).values()) {
            long started = count(other, outcome -> inWindow(outcome.startedAtMillis(), fromMillis));
            if (other.getFirst().rank() > ofKind.getFirst().rank() && started >= MIN_STARTED_RATIO * lost) {
                violations.add(new Violation(
                        Bound.RANK,
                        String.format(
                                Locale.ROOT,
                                "%s: %d lost beside %d requests in 5 s from %.0f s, %d of %s started",
                                ofKind.getFirst().kind(),
                                lost,
                                requests,
                                fromMillis / 1000,
                                started,
                                other.getFirst().kind())));
                return true;
            }
        }
        return false;
    }

    private static boolean inWindow(double timeMillis, double fromMillis) {
        return timeMillis >= fromMillis && timeMillis < fromMillis + RANK_WINDOW_MILLIS;
    }

    private static long count(List<RequestOutcome> ofKind, Predicate<RequestOutcome> condition) {
        return ofKind.stream().filter(condition).count();
    }
}
