package org.tanagerhinge.core.duty;

/** Events that move a node from one {@link DutyState} to the next. */
enum DutyEvent {
    ASK,
    GRANTED,
    ASKED,
    CLAIMED,
    LOSE,
    STOP
}
