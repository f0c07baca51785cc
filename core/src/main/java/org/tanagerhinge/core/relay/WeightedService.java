package org.tanagerhinge.core.relay;

/** Assigns a service its weight in a route, relative to the other services of the route. */
public record WeightedService(String service, int weight) {}
