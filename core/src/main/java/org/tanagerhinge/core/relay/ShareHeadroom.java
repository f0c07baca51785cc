package org.tanagerhinge.core.relay;

/**
 * Adjusts how much more work shares allow than was admitted before.
 *
 * <p>The admitted work is the only measure of capacity, and each refusal by share lowers it. The headroom therefore
 * grows until the service itself can't serve a small fraction of what shares allow.
 */
final class ShareHeadroom {
    /**
     * Fraction of the allowed requests that the service doesn't serve at the aimed headroom. It must be above 0, or
     * unused capacity would never show; what the service refuses is refused regardless of shares.
     */
    private static final double AIMED_LOSS = 0.04;

    /** Headroom at the first sign of a shortage, which may be a chance burst. */
    private static final double INITIAL = 1.2;

    private static final double MIN = 1.05;
    private static final double MAX = 4;
    /** Growth for each update: the headroom doubles within 4 s when capacity becomes free. */
    private static final double GROWTH = 1.05;
    /** Decline for each update: it halves within 2 s when the service is full. */
    private static final double DECLINE = 0.9;
    /** Time constant of the counts. */
    private static final double DECAY_MILLIS = 900;
    /** Time without an update after which the headroom starts afresh, since the service was not short meanwhile. */
    private static final long RESET_MILLIS = 1_000;

    private double headroom = INITIAL;
    private double allowed;
    private double admitted;

    private ShareHeadroom() {}

    static ShareHeadroom create() {
        return new ShareHeadroom();
    }

    /** Records a request that shares allow. */
    void recordAllowed() {
        allowed++;
    }

    /** Records that a request was sent, or with -1 that the server rejected it. */
    void recordAdmitted(int count) {
        admitted += count;
    }

    /**
     * Updates the headroom; called whenever the level is computed while the service is short of capacity.
     *
     * @param elapsedMillis time since the last update
     */
    void update(long elapsedMillis) {
        boolean served = admitted >= (1 - AIMED_LOSS) * allowed;
        headroom =
                elapsedMillis > RESET_MILLIS ? INITIAL : Math.clamp(headroom * (served ? GROWTH : DECLINE), MIN, MAX);
        double kept = elapsedMillis > RESET_MILLIS ? 0 : Math.exp(-elapsedMillis / DECAY_MILLIS);
        allowed *= kept;
        admitted *= kept;
    }

    /** Returns the factor between the work that shares allow and the work that was admitted. */
    double factor() {
        return headroom;
    }
}
