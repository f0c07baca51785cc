package org.tanagerhinge.core.duty;

/**
 * Provides the steady clock and the wall clock of a host. The steady clock never jumps but stops while the host is
 * suspended; the wall clock continues but may be stepped. Comparing both reveals a suspension.
 */
public interface NodeClock {
    /** Returns the milliseconds since an arbitrary fixed point in time before the process started. */
    long steadyMillis();

    /** Returns the milliseconds since the Unix epoch by the wall clock of this host. */
    long wallClockMillis();
}
