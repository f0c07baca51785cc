package org.tanagerhinge.core.relay;

/**
 * Holds the properties of a request that a placement policy considers.
 *
 * @param domain failure domain of the sending node
 */
public record PlacementRequest(Route route, ServiceConfig service, Prompt prompt, String domain) {}
