package org.tanagerhinge.core.message;

import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;

/**
 * Describes a call to run, its workspace and its scheduling parameters.
 *
 * <p>The parameters travel with the request, so that an agent whose configuration is out of date schedules by the
 * router's.
 *
 * @param promptUnits estimated prompt length in tokens; zero for a plain service
 */
public record WorkItem(
        WorkspaceId workspace,
        ProfileName profile,
        SchedulingParameters scheduling,
        TargetName target,
        BackendCall call,
        long promptUnits) {}
