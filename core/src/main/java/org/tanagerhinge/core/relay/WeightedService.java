package org.tanagerhinge.core.relay;

/** A service's weight in a route; weights of one route are relative to each other. */
public record WeightedService(String service, int weight) {}
