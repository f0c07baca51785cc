package org.tanagerhinge.core.duty;

/**
 * What a node tells all others of duties, with its reports.
 *
 * @param timeOfDayMillis by its clock
 * @param power how much it is to be preferred as a holder, greater is better; 0 if it takes no duty
 * @param token its fencing token, 0 if it holds no duty
 */
public record DutyAnnouncement(long wallClockMillis, int preference, long fencingToken) {
    /** Of a node that has nothing to do with duties. */
    public static final DutyAnnouncement NONE = new DutyAnnouncement(0, 0, 0);
}
