package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.tanagerhinge.core.relay.WorkspaceConfig;

/** Collects the outcomes of a simulated scenario by kind of request and by second. */
public final class FleetResult {
    /** Penalty for a request that failed after a retry, as a share of its possible credit. */
    private static final double FAILED_RETRY_PENALTY = 0.3;

    private final Map<String, Tally> tallyByKind = new LinkedHashMap<>();
    private final Map<String, Map<String, Tally>> tallyByWorkspaceAndKind = new LinkedHashMap<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
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
        for (int i = 0; i < scenario.callers().workspaces(); i++) {
            Map<String, Tally> tallies = new LinkedHashMap<>();
            scenario.kinds().forEach(kind -> tallies.put(kind.name(), new Tally()));
            tallyByWorkspaceAndKind.put(Callers.workspaceName(i), tallies);
        }
        possibleCreditBySecond = new double[scenario.durationSeconds() + 1];
        earnedCreditBySecond = new double[scenario.durationSeconds() + 1];
    }

    static FleetResult of(FleetScenario scenario) {
        return new FleetResult(scenario);
    }

    /** Counts the requests of a kind by outcome. */
    public static final class Tally {
        private int requests;
        private int onTime;
        private int late;
        private int gapExceeded;
        private int lateByGap;
        private int abandoned;
        private int failed;
        private int rejections;
        private int cameBack;
        private int servedAfterComingBack;
        private int onTimeAfterComingBack;
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

        /** Returns the number of late answers whose first event was on time. */
        public int lateByGap() {
            return lateByGap;
        }

        /** Returns the number of requests whose callers disconnected while an engine had them. */
        public int abandoned() {
            return abandoned;
        }

        /** Returns the number of requests that were finally rejected or failed. */
        public int failed() {
            return failed;
        }

        /** Returns the number of requests whose callers retried at the time that they were told. */
        public int cameBack() {
            return cameBack;
        }

        /** Returns the number of these requests that were answered, on time or late. */
        public int servedAfterComingBack() {
            return servedAfterComingBack;
        }

        /** Returns how often requests were rejected, including their repeats. */
        public int rejections() {
            return rejections;
        }

        /** Returns the share of the requests that were answered completely. */
        public double servedShare() {
            return requests == 0 ? 1 : (onTime + late) / (double) requests;
        }

        /** Returns the share of the requests that were answered on time. */
        public double onTimeShare() {
            return requests == 0 ? 1 : onTime / (double) requests;
        }

        /** Returns the earned share of the possible credit. */
        public double credit() {
            return possibleCredit == 0 ? 1 : earnedCredit / possibleCredit;
        }
    }

    private List<Tally> tallies(ModelCall call) {
        Tally ofKind = tallyByKind.get(call.kind.name());
        return call.workspace
                .map(workspace -> tallyByWorkspaceAndKind.get(workspace.name()))
                .map(tallies -> List.of(ofKind, tallies.get(call.kind.name())))
                .orElseGet(() -> List.of(ofKind));
    }

    void recordRequest(ModelCall call) {
        for (Tally tally : tallies(call)) {
            tally.requests++;
            tally.possibleCredit += call.possibleCredit();
        }
        possibleCreditBySecond[(int) (call.requestedAtMillis / 1000)] += call.possibleCredit();
    }

    void recordCompletion(ModelCall call) {
        boolean late = call.earnedCredit() < call.possibleCredit();
        for (Tally tally : tallies(call)) {
            tally.gapExceeded += call.gapExceeded ? 1 : 0;
            tally.lateByGap += late && !call.firstEventLate() ? 1 : 0;
            tally.onTime += late ? 0 : 1;
            tally.late += late ? 1 : 0;
            tally.earnedCredit += call.earnedCredit();
            if (call.cameBackAsTold()) {
                tally.servedAfterComingBack++;
                tally.onTimeAfterComingBack += late ? 0 : 1;
            }
        }
        earnedCreditBySecond[(int) (call.requestedAtMillis / 1000)] += call.earnedCredit();
    }

    void recordAbandonment(ModelCall call) {
        tallies(call).forEach(tally -> tally.abandoned++);
    }

    void recordFailure(ModelCall call) {
        tallies(call).forEach(tally -> tally.failed++);
        if (call.rejections > 0) {
            // A caller that retried as requested and then failed has also lost the waiting time.
            tallies(call).forEach(tally -> tally.earnedCredit -= FAILED_RETRY_PENALTY * call.possibleCredit());
            earnedCreditBySecond[(int) (call.requestedAtMillis / 1000)] -= FAILED_RETRY_PENALTY * call.possibleCredit();
        }
    }

    /** Records that a rejected caller retries at the time that it was told. */
    void recordCameBack(ModelCall call) {
        for (Tally tally : tallies(call)) {
            tally.cameBack++;
        }
    }

    /**
     * Records how and when a request ended; called once for each request.
     *
     * @param lossCause why it was lost; empty if it was served
     */
    void recordOutcome(ModelCall call, RequestOutcome.Result result, String lossCause, double nowMillis) {
        outcomes.add(new RequestOutcome(
                call.kind.name(),
                call.kind.rank(),
                call.workspace.map(WorkspaceConfig::name).orElse(""),
                call.prompt.inputTokens(),
                call.requestedAtMillis,
                call.sentAtMillis,
                nowMillis,
                result,
                lossCause));
    }

    void recordRejection(ModelCall call, String reason) {
        tallies(call).forEach(tally -> tally.rejections++);
        rejectionsByReason.merge(call.kind.name() + " " + reason, 1L, Long::sum);
    }

    void recordFirstPrefill(int tokens) {
        firstPrefillTokens += tokens;
    }

    /**
     * Records a repeated prefill of a shared part.
     *
     * @param expectedCached whether the gateway expected the engine to have it cached
     * @param cachedElsewhere whether another engine has it cached
     */
    void repeatedPrefill(int tokens, boolean expectedCached, boolean cachedElsewhere) {
        repeatedPrefillTokens += tokens;
        repeatedPrefillTokensByCause.merge(
                (expectedCached ? "expected cached" : "not expected cached")
                        + (cachedElsewhere ? ", cached elsewhere" : ", evicted everywhere"),
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

    /** Returns the number of requests that engines preempted for lack of slots or memory. */
    public long preempted() {
        return preempted;
    }

    /** Returns the number of requests preempted while a less urgent kind continued to run on the same engine. */
    public long preemptedBesideLessUrgent() {
        return preemptedBesideLessUrgent;
    }

    /** Returns the outcome counts of a kind of request. */
    public Tally kind(String name) {
        return tallyByKind.get(name);
    }

    /** Returns the number of requests that callers sent, without repeats. */
    public int requests() {
        return tallyByKind.values().stream().mapToInt(Tally::requests).sum();
    }

    /** Returns the outcomes of the requests in the order in which they ended. */
    List<RequestOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Returns the outcome counts of a workspace's requests of a kind. */
    public Tally workspace(String name, String kind) {
        return tallyByWorkspaceAndKind.get(name).get(kind);
    }

    /** Returns the earned share of the possible credit of all requests. */
    public double credit() {
        double possibleCredit = tallyByKind.values().stream()
                .mapToDouble(tally -> tally.possibleCredit)
                .sum();
        return tallyByKind.values().stream()
                        .mapToDouble(tally -> tally.earnedCredit)
                        .sum()
                / possibleCredit;
    }

    /** Returns the earned share of the possible credit of requests sent in the given second. */
    public double creditOfSecond(int second) {
        return possibleCreditBySecond[second] == 0 ? 1 : earnedCreditBySecond[second] / possibleCreditBySecond[second];
    }

    /** Returns the share of the requests that came back as told and were answered, or 1 if none came back. */
    public double servedShareOfCameBack() {
        int cameBack = tallyByKind.values().stream().mapToInt(Tally::cameBack).sum();
        int served = tallyByKind.values().stream()
                .mapToInt(Tally::servedAfterComingBack)
                .sum();
        return cameBack == 0 ? 1 : served / (double) cameBack;
    }

    /** Returns the tokens of shared parts that were prefilled again shortly after their last use. */
    public long repeatedPrefill() {
        return repeatedPrefillTokens;
    }

    /** Returns the mean over time of the ratio between the requests of the busiest engine and of the mean engine. */
    public double busiestToMean() {
        return loadRatioSum / Math.max(1, loadSamples);
    }

    /** Returns the results as lines of text. */
    public String summary() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "credit %.3f  prefilled %.1f M, first %.1f M, again %.1f M, fetched %.1f M  busiest/mean %.2f  full %d  preempted %d (%d beside less urgent)%n",
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
                "  %-10s requests %5d  on time %5d  late %5d (%d with gaps, %d by gaps alone)  abandoned %5d  failed %5d  rejections %5d  came back %5d (%d served, %d on time)  credit %.3f%n",
                name,
                tally.requests,
                tally.onTime,
                tally.late,
                tally.gapExceeded,
                tally.lateByGap,
                tally.abandoned,
                tally.failed,
                tally.rejections,
                tally.cameBack,
                tally.servedAfterComingBack,
                tally.onTimeAfterComingBack,
                tally.credit())));
        text.append("  by second");
        for (int i = 0; i < possibleCreditBySecond.length - 1; i++) {
            text.append(String.format(Locale.ROOT, " %.2f", creditOfSecond(i)));
        }
        text.append('\n');
        tallyByWorkspaceAndKind.forEach((name, tallies) -> appendWorkspace(text, name, tallies));
        return text.append("  prefilled again ")
                .append(repeatedPrefillTokensByCause)
                .append("\n  rejections ")
                .append(rejectionsByReason)
                .append('\n')
                .toString();
    }

    private static void appendWorkspace(StringBuilder text, String name, Map<String, Tally> tallies) {
        text.append("  workspace ").append(name);
        tallies.forEach((kind, tally) -> text.append(String.format(
                Locale.ROOT,
                "  %s: requests %d served %.2f on time %.2f",
                kind,
                tally.requests,
                tally.servedShare(),
                tally.onTimeShare())));
        text.append('\n');
    }
}
