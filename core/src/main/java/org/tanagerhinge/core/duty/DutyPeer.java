package org.tanagerhinge.core.duty;

/**
 * Describes another node of the cluster as known from its latest reports.
 *
 * @param name name of the node
 * @param incarnation distinguishes successive runs of the node's process
 * @param alive whether a report was received recently
 * @param announcement its latest announcement about duties
 */
public record DutyPeer(String name, long incarnation, boolean alive, DutyAnnouncement announcement) {}
