package org.tanagerhinge.core.relay;

import java.util.OptionalInt;

/**
 * Holds the operators' configuration of a workspace, as found by its API key.
 *
 * @param priority 0 is the most urgent; ranks requests of equal route rank; empty if the operators set none
 */
public record WorkspaceConfig(String name, OptionalInt priority) {}
