package org.tanagerhinge.core.relay;

import java.util.Arrays;
import java.util.Optional;

/**
 * Tracks how long work takes on the host of one server instance, as the server states it: 1 is nominal, 2 takes twice as
 * long.
 *
 * <p>A stated factor contains both the usual speed of the host and what its neighbors take of it at the moment. Without
 * any statement all factors are 1.
 */
public final class WorkTime {
    /** Largest plausible factor; greater ones are ignored. */
    private static final double MAX_FACTOR = 20;
    /** Time in milliseconds for which a stated factor counts as current: neighbors come and go within it. */
    private static final long LIFETIME_MILLIS = 600;
    /** Number of factors from which the usual one is taken. */
    private static final int WINDOW = 15;
    /**
     * Shortest interval between two factors of the window, in milliseconds. Many responses within one slow moment would
     * otherwise make it look usual.
     */
    private static final long SAMPLE_INTERVAL_MILLIS = 250;
    /** Position of the usual factor among the sorted ones of the window; below the median since neighbors only slow down. */
    private static final double USUAL_POSITION = 0.3;
    /** Ratio of usual factors between neighboring bands. */
    private static final double BAND_RATIO = 1.5;
    /** Distance from the center of its band, in bands, from which a server changes its band; half a band is the border. */
    private static final double BAND_HYSTERESIS = 0.65;

    private final double[] window = new double[WINDOW];
    private int samples;
    private long lastSampleMillis;
    private double current = 1;
    private long currentMillis;
    private double usual = 1;
    private int band;

    private WorkTime() {}

    static WorkTime create() {
        return new WorkTime();
    }

    /** Returns whether a stated factor can be used. */
    public static boolean isPlausible(double factor) {
        return factor > 0 && factor <= MAX_FACTOR;
    }

    /**
     * Records a factor that the server stated at a time in milliseconds, to this node or to a peer.
     *
     * @return whether it was added to the window that the usual factor is taken from
     */
    boolean record(double factor, long statedAtMillis) {
        if (!isPlausible(factor) || (known() && statedAtMillis <= currentMillis)) {
            return false;
        }
        current = factor;
        currentMillis = statedAtMillis;
        if (known() && statedAtMillis - lastSampleMillis < SAMPLE_INTERVAL_MILLIS) {
            return false;
        }
        window[samples % WINDOW] = factor;
        samples++;
        lastSampleMillis = statedAtMillis;
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

    /** Returns the factor at a time in milliseconds: the latest stated one while it is recent, the usual one otherwise. */
    public double current(long nowMillis) {
        return known() && nowMillis - currentMillis <= LIFETIME_MILLIS ? current : usual;
    }

    /** Returns the latest factor for a report to other nodes, while it is recent. */
    public Optional<PeerReport.StatedWorkTime> recentlyStated(long nowMillis) {
        return known() && nowMillis - currentMillis <= LIFETIME_MILLIS
                ? Optional.of(new PeerReport.StatedWorkTime(current, nowMillis - currentMillis))
                : Optional.empty();
    }

    /** Returns the band of the usual factor: 0 around nominal, lower for faster servers. It changes with hysteresis. */
    int band() {
        return band;
    }
}
