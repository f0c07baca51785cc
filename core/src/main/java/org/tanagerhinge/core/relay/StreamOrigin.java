package org.tanagerhinge.core.relay;

/**
 * Says what began a stream. Only servers of the same software version may continue it, since what two versions write
 * doesn't fit together and servers don't check it.
 *
 * @param service service of the server that began it
 * @param softwareVersion version of that server's software; empty if it states none
 */
public record StreamOrigin(String service, String softwareVersion) {}
