package org.tanagerhinge.core.duty;

/**
 * Holds what a node announces to all peers for the election of the duty holder.
 *
 * @param wallClockMillis time of the node's wall clock, in milliseconds since the Unix epoch; 0 if it takes no part
 *     in duties
 * @param preference rank of the node as a candidate, greater is better; 0 if it is no candidate
 * @param fencingToken the node's fencing token, 0 if it holds no duty
 * @param storeEra latest era of the store that the node knows, 0 if it knows none
 * @param committedThrough newest window that the node knows to be committed, 0 if it knows none
 */
public record DutyAnnouncement(
        long wallClockMillis, int preference, long fencingToken, long storeEra, long committedThrough) {
    /** The announcement of a node that takes no part in duties. */
    public static final DutyAnnouncement NONE = new DutyAnnouncement(0, 0, 0, 0, 0);
}
