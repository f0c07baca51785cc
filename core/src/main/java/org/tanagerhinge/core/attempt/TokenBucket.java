package org.tanagerhinge.core.attempt;

/** Holds tokens up to a capacity; time and events add some. */
final class TokenBucket {
    private double tokens;
    private double capacity;
    private long refilledAtMillis;

    private TokenBucket(long nowMillis) {
        this.refilledAtMillis = nowMillis;
    }

    /** Returns a bucket that is empty at a time. */
    static TokenBucket emptyAt(long millis) {
        return new TokenBucket(millis);
    }

    /**
     * Adds the tokens of the time since the last refill, and drops those beyond a capacity.
     *
     * @param tokensPerMilli tokens that a millisecond adds
     */
    void refill(double newCapacity, double tokensPerMilli, long nowMillis) {
        capacity = newCapacity;
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis += elapsedMillis;
        add(elapsedMillis * tokensPerMilli);
    }

    /** Drops all tokens, and takes none until the next refill. */
    void drain() {
        capacity = 0;
        tokens = 0;
    }

    /** Adds tokens up to the capacity. */
    void add(double added) {
        tokens = Math.min(capacity, tokens + added);
    }

    double tokens() {
        return tokens;
    }

    void take(double taken) {
        tokens -= taken;
    }
}
