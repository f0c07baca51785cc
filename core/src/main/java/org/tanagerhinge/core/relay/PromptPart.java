package org.tanagerhinge.core.relay;

/** Identifies a part of a prompt that several requests may share, with its size in tokens. */
public record PromptPart(String id, int tokens) {}
