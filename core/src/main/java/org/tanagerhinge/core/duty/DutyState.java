package org.tanagerhinge.core.duty;

/** States of the election on one node; the transitions are defined in {@code charts/duty.json}. */
enum DutyState {
    /** Another node holds the duty, or no node does. */
    IDLE,
    /** The duty record is being read and a lease is being requested from the store. */
    LEASING,
    /** The claim is being written to the store. */
    CLAIMING,
    /** The duty record is being read to confirm the claim and to load the state of earlier holders. */
    READING,
    /** This node holds the duty and performs it. */
    HOLDING,
    /** The node is shutting down and no longer takes part in the election. */
    STOPPED
}
