package org.tanagerhinge.core.relay;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Holds a node's figures of the work that its callers ask for at one service and rank.
 *
 * @param rank 0 is the most urgent
 * @param requests requests of all workspaces
 * @param small work of all workspaces together that are far below their share
 * @param shortAgeMillis time since the node last saw that the service is short of capacity; empty if it didn't lately
 * @param near work by hash of those workspaces near or over their share that fit into the report
 */
public record WorkspaceUses(
        String service,
        int rank,
        WorkRate requests,
        WorkRate small,
        OptionalLong shortAgeMillis,
        Map<Integer, WorkRate> near) {}
