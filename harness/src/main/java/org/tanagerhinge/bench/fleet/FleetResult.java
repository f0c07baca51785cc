package org.tanagerhinge.bench.fleet;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What a played scene has brought, by kind of request and second. */
public final class FleetResult {
    /** What a request costs that came back as it was told and got nothing, as a share of its worth. */
    private static final double REFUSED_AGAIN = 0.3;

    private final Map<String, Tally> kinds = new LinkedHashMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private final double[] owedAt;
    private final double[] earnedAt;
    private final Map<String, Long> againBy = new TreeMap<>();
    private long tokensRead;
    private long fetched;
    private long firstRead;
    private long again;
    private long full;
    private long preempted;
    private long preemptedBesideLessUrgent;
    private double loadSum;
    private int loads;

    private FleetResult(FleetScene scene) {
        for (PromptKind kind : scene.kinds()) {
            kinds.put(kind.name(), new Tally());
        }
        owedAt = new double[scene.seconds() + 1];
        earnedAt = new double[scene.seconds() + 1];
    }

    static FleetResult of(FleetScene scene) {
        return new FleetResult(scene);
    }

    /** Requests of a kind by how they ended. */
    public static final class Tally {
        private int asked;
        private int onTime;
        private int late;
        private int paused;
        private int left;
        private int failed;
        private int cameBack;
        private double owed;
        private double earned;

        public int asked() {
            return asked;
        }

        public int onTime() {
            return onTime;
        }

        public int late() {
            return late;
        }

        /** Returns the requests whose callers left while an engine worked for them. */
        public int left() {
            return left;
        }

        /** Returns the requests that were refused for good or broken off. */
        public int failed() {
            return failed;
        }

        /** Returns the share of their worth that answers brought. */
        public double credit() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    void asked(ModelCall call) {
        Tally tally = kinds.get(call.kind.name());
        tally.asked++;
        tally.owed += call.owed();
        owedAt[(int) (call.firstAsked / 1000)] += call.owed();
    }

    void served(ModelCall call) {
        Tally tally = kinds.get(call.kind.name());
        boolean late = call.earned() < call.owed();
        tally.paused += call.paused ? 1 : 0;
        tally.onTime += late ? 0 : 1;
        tally.late += late ? 1 : 0;
        tally.earned += call.earned();
        earnedAt[(int) (call.firstAsked / 1000)] += call.earned();
    }

    void left(ModelCall call) {
        kinds.get(call.kind.name()).left++;
    }

    void failed(ModelCall call) {
        Tally tally = kinds.get(call.kind.name());
        tally.failed++;
        if (call.refusals > 0) {
            // Who came back as told and got nothing has waited in vain.
            tally.earned -= REFUSED_AGAIN * call.owed();
            earnedAt[(int) (call.firstAsked / 1000)] -= REFUSED_AGAIN * call.owed();
        }
    }

    void refused(ModelCall call, String why) {
        kinds.get(call.kind.name()).cameBack++;
        refusals.merge(call.kind.name() + " " + why, 1L, Long::sum);
    }

    void readFirst(int tokens) {
        firstRead += tokens;
    }

    /**
     * A shared part was read again.
     *
     * @param believed whether the engine was taken to hold it
     * @param elsewhere whether another engine holds it
     */
    void readAgain(int tokens, boolean believed, boolean elsewhere) {
        again += tokens;
        againBy.merge(
                (believed ? "believed held" : "not believed held")
                        + (elsewhere ? ", held elsewhere" : ", dropped by all"),
                (long) tokens,
                Long::sum);
    }

    void load(double busiestToMean) {
        loadSum += busiestToMean;
        loads++;
    }

    void ended(long read, long moved, long fullEngines, long preemptions, long besideLessUrgent) {
        tokensRead = read;
        fetched = moved;
        full = fullEngines;
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
        return kinds.get(name);
    }

    /** Returns the share of all worth that answers brought. */
    public double credit() {
        double owed = kinds.values().stream().mapToDouble(tally -> tally.owed).sum();
        return kinds.values().stream().mapToDouble(tally -> tally.earned).sum() / owed;
    }

    /** Returns the share of worth that the requests of a second brought. */
    public double creditOfSecond(int second) {
        return owedAt[second] == 0 ? 1 : earnedAt[second] / owedAt[second];
    }

    /** Returns the shared tokens that were read though an engine had read them a short time before. */
    public long readAgain() {
        return again;
    }

    /** Returns the mean over time of the busiest engine's requests against the mean engine's. */
    public double busiestToMean() {
        return loadSum / Math.max(1, loads);
    }

    /** Returns the figures as lines of text. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "credit %.3f  read %.1f M, first %.1f M, again %.1f M, fetched %.1f M  busiest/mean %.2f  full %d  preempted %d (%d beside less urgent)%n",
                credit(),
                tokensRead / 1e6,
                firstRead / 1e6,
                again / 1e6,
                fetched / 1e6,
                busiestToMean(),
                full,
                preempted,
                preemptedBesideLessUrgent));
        kinds.forEach((name, tally) -> text.append(String.format(
                Locale.ROOT,
                "  %-10s asked %5d  on time %5d  late %5d (%d paused)  left %5d  failed %5d  refusals %5d  credit %.3f%n",
                name,
                tally.asked,
                tally.onTime,
                tally.late,
                tally.paused,
                tally.left,
                tally.failed,
                tally.cameBack,
                tally.credit())));
        text.append("  by second");
        for (int i = 0; i < owedAt.length - 1; i++) {
            text.append(String.format(Locale.ROOT, " %.2f", creditOfSecond(i)));
        }
        return text.append("\n  again ")
                .append(againBy)
                .append("\n  refusals ")
                .append(refusals)
                .append('\n')
                .toString();
    }
}
