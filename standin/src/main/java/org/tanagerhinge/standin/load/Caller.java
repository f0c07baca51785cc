package org.tanagerhinge.standin.load;

/** A workspace that sends requests, with its bearer key and its weight among the callers of a class. */
public record Caller(String workspace, String key, double weight) {}
