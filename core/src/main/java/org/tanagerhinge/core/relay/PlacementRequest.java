package org.tanagerhinge.core.relay;

/**
 * What a placement may look at.
 *
 * @param domain failure domain of the node that sends
 */
public record PlacementRequest(Route route, ServiceConfig service, Prompt prompt, String domain) {}
