package org.tanagerhinge.bench.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.invariant.Invariant;

/** Runs random simulations of request handling, one per seed, and returns their results. */
public final class Soak {
    private static final int MAX_TAIL_LINES = 60;
    private static final int MAX_RELATED_LINES = 2000;

    /**
     * Describes the result of one seed.
     *
     * @param failure violated invariant and detail; empty if none
     * @param completeAnswers calls that received a complete answer
     * @param checks checks made, by invariant
     */
    public record Result(
            long seed,
            String failure,
            long events,
            long faults,
            long requests,
            long completeAnswers,
            Map<Invariant, Long> checks,
            Map<String, Long> counts) {
        /** Returns whether no invariant was violated. */
        public boolean passed() {
            return failure.isEmpty();
        }
    }

    /**
     * What may happen in a run beside the faults of its seed.
     *
     * @param restores whether the store is restored from older copies
     * @param softwareVersions whether engines have several software versions, which change when they crash
     */
    public record Variant(boolean restores, boolean softwareVersions) {
        static final Variant NONE = new Variant(false, false);
        static final Variant RESTORES = new Variant(true, false);
        static final Variant SOFTWARE_VERSIONS = new Variant(false, true);
    }

    private Soak() {}

    /** Runs one seed; the same seed gives the same run. */
    public static Result run(long seed) {
        return run(seed, Variant.NONE);
    }

    /** Runs one seed like {@link #run(long)}, in a variant. */
    public static Result run(long seed, Variant variant) {
        Simulation simulation = new Simulation(seed, false, variant);
        String failure = "";
        try {
            simulation.run();
        } catch (RuntimeException e) {
            failure = String.valueOf(e.getMessage());
        }
        return new Result(
                seed,
                failure,
                simulation.scheduler.executedEvents(),
                simulation.faultsInjected(),
                simulation.requestCount(),
                simulation.completeAnswers(),
                new EnumMap<>(
                        simulation.checks.counts().isEmpty()
                                ? Map.of(Invariant.TIER_ORDER, 0L)
                                : simulation.checks.counts()),
                simulation.counts());
    }

    /** Reruns a seed with its event log; returns the lines about the failed request or node, then the last lines. */
    public static List<String> explain(long seed, Variant variant) {
        Simulation simulation = new Simulation(seed, true, variant);
        List<String> lines = new ArrayList<>();
        try {
            simulation.run();
            lines.add("seed " + seed + " passes");
            return lines;
        } catch (RuntimeException e) {
            lines.add(String.valueOf(e));
            for (StackTraceElement frame : e.getStackTrace()) {
                if (frame.getClassName().startsWith("org.tanagerhinge") && lines.size() < 12) {
                    lines.add("    at " + frame);
                }
            }
        }
        List<String> log = simulation.scheduler.logLines();
        String subject = subject(lines.get(0));
        String callPrefix = callPrefix(lines.get(0));
        if (!subject.isEmpty()) {
            List<String> related = log.stream()
                    .filter(line -> line.contains(subject) || line.contains("FAULT ") || line.contains(callPrefix))
                    .collect(Collectors.toList());
            lines.add("-- lines about " + subject);
            lines.addAll(related.subList(Math.max(0, related.size() - MAX_RELATED_LINES), related.size()));
        }
        lines.add("-- last lines");
        lines.addAll(log.subList(Math.max(0, log.size() - MAX_TAIL_LINES), log.size()));
        return lines;
    }

    private static String callPrefix(String failure) {
        int at = failure.indexOf("request ");
        String rest = at < 0 ? "none " : failure.substring(at + "request ".length());
        return "r" + rest.substring(0, rest.indexOf(' ')) + "-";
    }

    /** Returns the text that marks log lines about a failure: the key digest, or a call prefix such as {@code r17-}. */
    private static String subject(String failure) {
        int at = failure.indexOf("request ");
        if (at < 0) {
            return "";
        }
        String rest = failure.substring(at + "request ".length());
        String number = rest.chars()
                .takeWhile(Character::isDigit)
                .mapToObj(c -> String.valueOf((char) c))
                .collect(Collectors.joining());
        if (failure.contains("keyed")) {
            WorkspaceId workspace = WorkspaceId.of("sim");
            boolean status = failure.contains("(status");
            TargetName target = TargetName.of(status ? Simulation.SERVICE : Simulation.MODEL);
            return KeyDigest.of(workspace, target, "key key-" + number).hex();
        }
        return number.isEmpty() ? rest.substring(0, rest.indexOf('-') + 1) : "r" + number + "-";
    }

    /** Runs consecutive seeds on several threads and returns their results in order. */
    public static List<Result> runAll(long firstSeed, int seedCount, int threads) {
        return runAll(firstSeed, seedCount, threads, Variant.NONE);
    }

    /** Runs consecutive seeds like {@link #runAll(long, int, int)}, in a variant. */
    public static List<Result> runAll(long firstSeed, int seedCount, int threads, Variant variant) {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Result>> futures = new ArrayList<>();
            for (int i = 0; i < seedCount; i++) {
                long seed = firstSeed + i;
                futures.add(executor.submit(() -> run(seed, variant)));
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run ended with an unexpected exception", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            executor.shutdownNow();
        }
    }
}
