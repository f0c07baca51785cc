package org.tanagerhinge.bench.duty;

/** A fault that is put into a run on purpose, to show that its checks would find it. */
public enum DeliberateBug {
    NONE,
    /** All holders send the same fencing token. */
    NO_FENCE,
    /** Counts are sent without having been fixed in the store. */
    NO_FREEZE_OF_COUNTS,
    /** A holder counts its lease by a clock that may be stepped back. */
    LEASE_BY_TIME_OF_DAY,
    /** A holder trusts its lease after its host was suspended. */
    BLIND_TO_SUSPENSION,
    /** A node that lost the duty takes it again at once. */
    RETAKE_AT_ONCE,
    /** A new holder doesn't wait for calls of the one before it. */
    NO_WAIT_WITHOUT_FENCE
}
