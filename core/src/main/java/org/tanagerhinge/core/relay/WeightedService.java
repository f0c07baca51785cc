package org.tanagerhinge.core.relay;

/** A service and its weight in a route, relative to the other services of the route. */
public record WeightedService(String service, int weight) {}
