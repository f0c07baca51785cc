package org.tanagerhinge.core.duty;

/** Events that move a node from one {@link DutyState} to the next. */
enum DutyEvent {
    /** An election attempt starts. */
    ASK,
    /** The store granted a lease. */
    GRANTED,
    /** The claim was sent; its result must be read back. */
    ASKED,
    /** The claim was found in the store. */
    CLAIMED,
    /** The attempt failed or ownership was lost. */
    LOSE,
    /** The process shuts down. */
    STOP
}
