package org.tanagerhinge.core.duty;

/**
 * The two clocks of a host, in milliseconds. The steady one never jumps but stands still while the host is suspended; the time
 * of day goes on then but may be stepped. Only both together show that a host was suspended.
 */
public interface NodeClock {
    /** Returns the time since some fixed moment before the process began. */
    long steadyMillis();

    /** Returns the time since the start of 1970 by this host's clock. */
    long wallClockMillis();
}
