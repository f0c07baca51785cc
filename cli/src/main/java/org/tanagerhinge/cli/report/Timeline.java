package org.tanagerhinge.cli.report;

import java.util.Arrays;

/** Values by second from a first one on. */
final class Timeline {
    private double[] values;
    private int length;

    private Timeline(int seconds) {
        values = new double[Math.max(1, seconds)];
    }

    /** Returns a line without a value. */
    static Timeline empty() {
        return new Timeline(64);
    }

    /** Adds to the value of a second. */
    void add(int second, double value) {
        extendTo(second);
        values[second] += value;
    }

    /** Raises the value of a second to at least one. */
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

    /** Returns the seconds that have values, or had one before a later one. */
    int length() {
        return length;
    }

    /** Returns the value of a second, 0 where none was noted. */
    double valueAt(int second) {
        return second < values.length ? values[second] : 0;
    }
}
