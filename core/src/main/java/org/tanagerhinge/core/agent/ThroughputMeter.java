package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;

/** Measures the throughput, stream rate and first-output latency of a backend server as moving averages. */
final class ThroughputMeter {
    private static final Duration WINDOW = Duration.ofMillis(250);
    private static final double RATE_SMOOTHING = 0.3;
    private static final double UNIT_TIME_SMOOTHING = 0.02;

    private static final double FIRST_OUTPUT_SMOOTHING = 0.1;

    private double firstOutputSeconds;
    private double firstOutputDeviationSeconds;
    private Instant windowStart;
    private long windowUnits;
    private double unitsPerSecond;
    private double secondsPerStreamUnit;

    void recordOutput(long units) {
        windowUnits += units;
    }

    /** Records the time from a run's dispatch to its first output. */
    void recordFirstOutput(Duration latency) {
        double seconds = latency.toNanos() / 1e9;
        double error = seconds - firstOutputSeconds;
        firstOutputSeconds += error * FIRST_OUTPUT_SMOOTHING;
        firstOutputDeviationSeconds += (Math.abs(error) - firstOutputDeviationSeconds) * FIRST_OUTPUT_SMOOTHING;
    }

    /** Returns an upper estimate of the first-output latency: the mean plus twice the mean deviation. */
    Duration firstOutputLatencyBound() {
        return Duration.ofNanos((long) ((firstOutputSeconds + 2 * firstOutputDeviationSeconds) * 1e9));
    }

    void recordGap(Duration gap, long units) {
        double unitSeconds = gap.toNanos() / 1e9 / Math.max(1, units);
        secondsPerStreamUnit = secondsPerStreamUnit == 0
                ? unitSeconds
                : secondsPerStreamUnit * (1 - UNIT_TIME_SMOOTHING) + unitSeconds * UNIT_TIME_SMOOTHING;
    }

    /**
     * Ends the measurement window if it is due.
     *
     * <p>A window without saturation can only raise the rate, since it reflects the demand and not the server's capacity.
     *
     * @param saturated whether the concurrency limit is reached
     */
    void tick(Instant now, boolean saturated) {
        if (windowStart == null) {
            windowStart = now;
            return;
        }
        Duration length = Duration.between(windowStart, now);
        if (length.compareTo(WINDOW) < 0) {
            return;
        }
        double windowUnitsPerSecond = windowUnits / (length.toNanos() / 1e9);
        if (saturated || windowUnitsPerSecond > unitsPerSecond) {
            unitsPerSecond = unitsPerSecond == 0
                    ? windowUnitsPerSecond
                    : unitsPerSecond * (1 - RATE_SMOOTHING) + windowUnitsPerSecond * RATE_SMOOTHING;
        }
        windowStart = now;
        windowUnits = 0;
    }

    double unitsPerSecond() {
        return unitsPerSecond;
    }

    double streamUnitsPerSecond() {
        return secondsPerStreamUnit == 0 ? 0 : 1 / secondsPerStreamUnit;
    }
}
