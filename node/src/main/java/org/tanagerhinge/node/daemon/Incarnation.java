package org.tanagerhinge.node.daemon;

import java.security.SecureRandom;

/** Generates numbers that distinguish one run of a process from the next. */
public final class Incarnation {
    private static final SecureRandom RANDOM = new SecureRandom();

    private Incarnation() {}

    /** Returns a random 64-bit number, unique to this run with near certainty. */
    public static long next() {
        return RANDOM.nextLong();
    }
}
