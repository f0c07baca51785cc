package org.tanagerhinge.core.message;

import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;

/**
 * What is to be run, for whom, and on which terms.
 *
 * <p>The terms travel with the request, so that an agent whose configuration lags still orders by the router's.
 *
 * @param promptUnits estimated size of the prompt in tokens; zero for a plain service
 */
public record WorkItem(
        WorkspaceId workspace,
        ProfileName profile,
        SchedulingParameters scheduling,
        TargetName target,
        BackendCall call,
        long promptUnits) {}
