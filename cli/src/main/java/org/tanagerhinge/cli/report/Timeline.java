package org.tanagerhinge.cli.report;

import java.util.Arrays;

/** A growing series with one value per second, starting at second 0. */
final class Timeline {
    private double[] values;
    private int length;

    private Timeline(int seconds) {
        values = new double[Math.max(1, seconds)];
    }

    /** Returns a timeline without values. */
    static Timeline empty() {
        return new Timeline(64);
    }

    /** Adds an amount to the value of a second. */
    void add(int second, double value) {
        extendTo(second);
        values[second] += value;
    }

    /** Raises the value of a second to the given one if it is lower. */
    void raiseTo(int second, double value) {
        extendTo(second);
        values[second] = Math.max(values[second], value);
    }

    private void extendTo(int second) {
        if (second >= values.length) {
            values = Arrays.copyOf(values, Math.max(second + 1, values.length * 2));
        }
        length = Math.max(length, second + 1);
    }

    /** Returns the number of seconds up to the last one that has a value. */
    int length() {
        return length;
    }

    /** Returns the value of a second, 0 if none was recorded. */
    double valueAt(int second) {
        return second < values.length ? values[second] : 0;
    }
}
