package org.tanagerhinge.bench.fleet;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What a played scene has brought, by kind of request and second. */
public final class FleetResult {
    /** What a request costs that came back as it was told and got nothing, as a share of its worth. */
    private static final double FAILED_RETRY_PENALTY = 0.3;

    private final Map<String, Tally> tallyByKind = new LinkedHashMap<>();
    private final Map<String, Long> rejectionsByReason = new TreeMap<>();
    private final double[] possibleCreditBySecond;
    private final double[] earnedCreditBySecond;
    private final Map<String, Long> repeatedPrefillTokensByCause = new TreeMap<>();
    private long prefilledTokens;
    private long fetchedTokens;
    private long firstPrefillTokens;
    private long repeatedPrefillTokens;
    private long rejectedOffers;
    private long preempted;
    private long preemptedBesideLessUrgent;
    private double loadRatioSum;
    private int loadSamples;

    private FleetResult(FleetScenario scenario) {
        for (RequestKind kind : scenario.kinds()) {
            tallyByKind.put(kind.name(), new Tally());
        }
        possibleCreditBySecond = new double[scenario.durationSeconds() + 1];
        earnedCreditBySecond = new double[scenario.durationSeconds() + 1];
    }

    static FleetResult of(FleetScenario scenario) {
        return new FleetResult(scenario);
    }

    /** Requests of a kind by how they ended. */
    public static final class Tally {
        private int requests;
        private int onTime;
        private int late;
        private int gapExceeded;
        private int abandoned;
        private int failed;
        private int rejections;
        private double possibleCredit;
        private double earnedCredit;

        public int requests() {
            return requests;
        }

        public int onTime() {
            return onTime;
        }

        public int late() {
            return late;
        }

        /** Returns the requests whose callers left while an engine worked for them. */
        public int abandoned() {
            return abandoned;
        }

        /** Returns the requests that were refused for good or broken off. */
        public int failed() {
            return failed;
        }

        /** Returns the share of their worth that answers brought. */
        public double credit() {
            return possibleCredit == 0 ? 1 : earnedCredit / possibleCredit;
        }
    }

    void recordRequest(ModelCall call) {
        Tally tally = tallyByKind.get(call.kind.name());
        tally.requests++;
        tally.possibleCredit += call.possibleCredit();
        possibleCreditBySecond[(int) (call.requestedAtMillis / 1000)] += call.possibleCredit();
    }

    void recordCompletion(ModelCall call) {
        Tally tally = tallyByKind.get(call.kind.name());
        boolean late = call.earnedCredit() < call.possibleCredit();
        tally.gapExceeded += call.gapExceeded ? 1 : 0;
        tally.onTime += late ? 0 : 1;
        tally.late += late ? 1 : 0;
        tally.earnedCredit += call.earnedCredit();
        earnedCreditBySecond[(int) (call.requestedAtMillis / 1000)] += call.earnedCredit();
    }

    void recordAbandonment(ModelCall call) {
        tallyByKind.get(call.kind.name()).abandoned++;
    }

    void recordFailure(ModelCall call) {
        Tally tally = tallyByKind.get(call.kind.name());
        tally.failed++;
        if (call.rejections > 0) {
            // Who came back as told and got nothing has waited in vain.
            tally.earnedCredit -= FAILED_RETRY_PENALTY * call.possibleCredit();
            earnedCreditBySecond[(int) (call.requestedAtMillis / 1000)] -= FAILED_RETRY_PENALTY * call.possibleCredit();
        }
    }

    void recordRejection(ModelCall call, String reason) {
        tallyByKind.get(call.kind.name()).rejections++;
        rejectionsByReason.merge(call.kind.name() + " " + reason, 1L, Long::sum);
    }

    void recordFirstPrefill(int tokens) {
        firstPrefillTokens += tokens;
    }

    /**
     * A shared part was read again.
     *
     * @param expectedCached whether the engine was taken to hold it
     * @param cachedElsewhere whether another engine holds it
     */
    void repeatedPrefill(int tokens, boolean expectedCached, boolean cachedElsewhere) {
        repeatedPrefillTokens += tokens;
        repeatedPrefillTokensByCause.merge(
                (expectedCached ? "believed held" : "not believed held")
                        + (cachedElsewhere ? ", held elsewhere" : ", dropped by all"),
                (long) tokens,
                Long::sum);
    }

    void recordLoadRatio(double busiestToMean) {
        loadRatioSum += busiestToMean;
        loadSamples++;
    }

    void recordTotals(long prefilled, long fetched, long offers, long preemptions, long besideLessUrgent) {
        prefilledTokens = prefilled;
        fetchedTokens = fetched;
        rejectedOffers = offers;
        preempted = preemptions;
        preemptedBesideLessUrgent = besideLessUrgent;
    }

    /** Returns the requests that engines preempted, for want of a place or of memory. */
    public long preempted() {
        return preempted;
    }

    /** Returns those of them that were preempted while a request of a less urgent kind ran on at the engine. */
    public long preemptedBesideLessUrgent() {
        return preemptedBesideLessUrgent;
    }

    /** Returns the requests of a kind by how they ended. */
    public Tally kind(String name) {
        return tallyByKind.get(name);
    }

    /** Returns the share of all worth that answers brought. */
    public double credit() {
        double possibleCredit = tallyByKind.values().stream().mapToDouble(tally -> tally.possibleCredit).sum();
        return tallyByKind.values().stream().mapToDouble(tally -> tally.earnedCredit).sum() / possibleCredit;
    }

    /** Returns the share of worth that the requests of a second brought. */
    public double creditOfSecond(int second) {
        return possibleCreditBySecond[second] == 0 ? 1 : earnedCreditBySecond[second] / possibleCreditBySecond[second];
    }

    /** Returns the shared tokens that were read though an engine had read them a short time before. */
    public long repeatedPrefill() {
        return repeatedPrefillTokens;
    }

    /** Returns the mean over time of the busiest engine's requests against the mean engine's. */
    public double busiestToMean() {
        return loadRatioSum / Math.max(1, loadSamples);
    }

    /** Returns the figures as lines of text. */
    public String summary() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "credit %.3f  read %.1f M, first %.1f M, again %.1f M, fetched %.1f M  busiest/mean %.2f  full %d  preempted %d (%d beside less urgent)%n",
                credit(),
                prefilledTokens / 1e6,
                firstPrefillTokens / 1e6,
                repeatedPrefillTokens / 1e6,
                fetchedTokens / 1e6,
                busiestToMean(),
                rejectedOffers,
                preempted,
                preemptedBesideLessUrgent));
        tallyByKind.forEach((name, tally) -> text.append(String.format(
                Locale.ROOT,
                "  %-10s asked %5d  on time %5d  late %5d (%d paused)  left %5d  failed %5d  refusals %5d  credit %.3f%n",
                name,
                tally.requests,
                tally.onTime,
                tally.late,
                tally.gapExceeded,
                tally.abandoned,
                tally.failed,
                tally.rejections,
                tally.credit())));
        text.append("  by second");
        for (int i = 0; i < possibleCreditBySecond.length - 1; i++) {
            text.append(String.format(Locale.ROOT, " %.2f", creditOfSecond(i)));
        }
        return text.append("\n  again ")
                .append(repeatedPrefillTokensByCause)
                .append("\n  refusals ")
                .append(rejectionsByReason)
                .append('\n')
                .toString();
    }
}
