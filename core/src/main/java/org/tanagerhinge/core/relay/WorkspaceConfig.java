package org.tanagerhinge.core.relay;

import java.util.OptionalInt;

/**
 * The workspace that holds a key.
 *
 * @param priority rank that goes before the route's, if the operators gave one
 */
public record WorkspaceConfig(String name, OptionalInt priority) {}
