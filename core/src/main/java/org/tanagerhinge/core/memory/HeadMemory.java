package org.tanagerhinge.core.memory;

/** Estimates from above the memory that the decoded head of an HTTP request takes. */
public final class HeadMemory {
    /** Memory of the objects of a line. */
    private static final int LINE_BYTES = 200;

    private HeadMemory() {}

    /** Returns the memory in bytes of a number of characters in a number of lines. */
    public static long of(long characters, long lines) {
        return 2 * characters + LINE_BYTES * lines;
    }
}
