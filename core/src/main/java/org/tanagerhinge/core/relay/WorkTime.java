package org.tanagerhinge.core.relay;

import java.util.Arrays;
import java.util.Optional;

/**
 * Tracks how long work takes on the host of one server instance, as the server states it: 1 is nominal, 2 takes twice
 * as long.
 *
 * <p>A stated factor contains both the usual speed of the host and the load of other processes on it at the moment.
 * Without any statement all factors are 1.
 */
public final class WorkTime {
    /** Largest plausible factor, and the inverse of the smallest; others are ignored. */
    private static final double MAX_FACTOR = 20;
    /** Factors are rounded to this part of nominal, so that noise in them doesn't decide between servers. */
    private static final double STEPS_PER_UNIT = 20;
    /**
     * Time in milliseconds for which a stated factor counts as current. The load of other processes on a host changes
     * within it.
     */
    private static final long LIFETIME_MILLIS = 600;
    /**
     * Number of factors from which the usual one is taken: some seconds, within which a lasting change becomes usual.
     */
    private static final int WINDOW = 15;
    /**
     * Shortest interval between two factors of the window, in milliseconds. Many responses within one slow moment would
     * otherwise make it look usual.
     */
    private static final long SAMPLE_INTERVAL_MILLIS = 250;
    /**
     * Position of the usual factor among the sorted ones of the window; below the median since load only slows down.
     */
    private static final double USUAL_POSITION = 0.3;
    /** Ratio of usual factors between neighboring bands; smaller differences don't justify a move between lanes. */
    private static final double BAND_RATIO = 1.5;
    /** Distance from the center of its band, in bands, beyond which a server changes it; half a band is the border. */
    private static final double BAND_HYSTERESIS = 0.65;

    private final double[] window = new double[WINDOW];
    private int samples;
    private long lastSampleMillis;
    private Statement latest = new Statement(1, 0);
    private Optional<Statement> latestOwn = Optional.empty();
    private double usual = 1;
    private int band;

    /** A factor and when the server stated it, in milliseconds. */
    private record Statement(double factor, long atMillis) {
        boolean isCurrent(long nowMillis) {
            return nowMillis >= atMillis && nowMillis - atMillis <= LIFETIME_MILLIS;
        }
    }

    private WorkTime() {}

    static WorkTime create() {
        return new WorkTime();
    }

    /** Returns whether a stated factor can be used. */
    public static boolean isPlausible(double factor) {
        return factor >= 1 / MAX_FACTOR && factor <= MAX_FACTOR;
    }

    /**
     * Records a factor that the server stated to this node at a time in milliseconds.
     *
     * @return whether it was added to the window that the usual factor is taken from
     */
    boolean record(double factor, long statedAtMillis) {
        if (!isPlausible(factor)) {
            return false;
        }
        latestOwn = Optional.of(new Statement(round(factor), statedAtMillis));
        return add(latestOwn.get());
    }

    /**
     * Records a factor that the server stated to another node. It is not reported further: its age would restart with
     * the delay of each report.
     *
     * @return whether it was added to the window that the usual factor is taken from
     */
    boolean recordFromPeer(PeerReport.StatedWorkTime stated, long nowMillis) {
        if (!isPlausible(stated.factor()) || stated.ageMillis() < 0 || stated.ageMillis() > LIFETIME_MILLIS) {
            return false;
        }
        return add(new Statement(round(stated.factor()), nowMillis - stated.ageMillis()));
    }

    private static double round(double factor) {
        return Math.max(1, Math.round(factor * STEPS_PER_UNIT)) / STEPS_PER_UNIT;
    }

    private boolean add(Statement statement) {
        if (known() && statement.atMillis() <= latest.atMillis()) {
            return false;
        }
        latest = statement;
        if (known() && statement.atMillis() - lastSampleMillis < SAMPLE_INTERVAL_MILLIS) {
            return false;
        }
        window[samples % WINDOW] = statement.factor();
        samples++;
        lastSampleMillis = statement.atMillis();
        updateUsual();
        return true;
    }

    private void updateUsual() {
        double[] sorted = Arrays.copyOf(window, Math.min(samples, WINDOW));
        Arrays.sort(sorted);
        usual = sorted[(int) (USUAL_POSITION * sorted.length)];
        double position = Math.log(usual) / Math.log(BAND_RATIO);
        if (Math.abs(position - band) > BAND_HYSTERESIS) {
            band = (int) Math.round(position);
        }
    }

    /** Returns whether the server has stated any factor. */
    public boolean known() {
        return samples > 0;
    }

    /** Returns the usual factor. */
    public double usual() {
        return usual;
    }

    /** Returns the factor at a time in milliseconds: the latest stated one while it is recent, else the usual one. */
    public double current(long nowMillis) {
        return known() && latest.isCurrent(nowMillis) ? latest.factor() : usual;
    }

    /**
     * Returns the latest factor that the server stated to this node, while it is recent, for reports to other nodes.
     */
    public Optional<PeerReport.StatedWorkTime> recentlyStated(long nowMillis) {
        return latestOwn
                .filter(own -> own.isCurrent(nowMillis))
                .map(own -> new PeerReport.StatedWorkTime(own.factor(), nowMillis - own.atMillis()));
    }

    /** Returns the band of the usual factor: 0 around nominal, lower for faster servers. It changes with hysteresis. */
    int band() {
        return band;
    }
}
