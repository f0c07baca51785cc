package org.tanagerhinge.bench.duty;

/** Lists the bugs that can be injected into a run to show that its checks detect them. */
public enum DeliberateBug {
    NONE,
    /** All holders send the same fencing token. */
    NO_FENCE,
    /** Counts are reported without having been committed in the store. */
    NO_FREEZE_OF_COUNTS,
    /** A holder measures its lease with the wall clock, which may be stepped back. */
    LEASE_BY_TIME_OF_DAY,
    /** A holder does not notice that its host was suspended and relies on an expired lease. */
    BLIND_TO_SUSPENSION,
    /** A node that lost the duty claims it again without a cooldown. */
    RETAKE_AT_ONCE,
    /** Without fencing, a new holder does not wait for delayed calls of the previous holder. */
    NO_WAIT_WITHOUT_FENCE
}
