package org.tanagerhinge.core.relay;

/**
 * Holds work that callers asked for and the part of it that was admitted, both per second.
 *
 * <p>The unit is tokens at model engines and milliseconds of a server's time at plain servers; of rates of requests, it
 * is requests.
 */
public record WorkRate(double asked, double admitted) {
    /** No work. */
    public static final WorkRate NONE = new WorkRate(0, 0);

    /** Returns the admitted fraction; 1 if nothing was asked for. */
    public double admittedFraction() {
        return asked <= 0 ? 1 : Math.min(1, admitted / asked);
    }

    /** Returns this rate between zero and a largest rate, with no more work admitted than was asked for. */
    WorkRate bounded(double largest) {
        double boundedAsked = Double.isNaN(asked) ? 0 : Math.clamp(asked, 0, largest);
        return new WorkRate(boundedAsked, Double.isNaN(admitted) ? 0 : Math.clamp(admitted, 0, boundedAsked));
    }

    /** Returns the sum of two rates. */
    public WorkRate plus(WorkRate other) {
        return new WorkRate(asked + other.asked, admitted + other.admitted);
    }
}
