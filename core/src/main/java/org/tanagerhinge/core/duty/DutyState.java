package org.tanagerhinge.core.duty;

/** The states of one node's holding of a duty; the chart is {@code charts/duty.json}. */
enum DutyState {
    /** Another node holds the duty, or nobody does. */
    IDLE,
    /** The store was asked for a lease. */
    LEASING,
    /** The store was asked for the duty. */
    CLAIMING,
    /** The store is asked whether the claim holds, and what holders before have left. */
    READING,
    /** The duty is held and done. */
    HOLDING,
    /** The node stops: it takes no duty any more. */
    STOPPED
}
