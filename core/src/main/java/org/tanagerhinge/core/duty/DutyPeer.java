package org.tanagerhinge.core.duty;

/**
 * Another node, as far as it was heard.
 *
 * @param incarnation another number after each start of its process
 * @param present whether it was heard of late
 * @param word what it told last of duties
 */
public record DutyPeer(String name, long incarnation, boolean alive, DutyAnnouncement announcement) {}
