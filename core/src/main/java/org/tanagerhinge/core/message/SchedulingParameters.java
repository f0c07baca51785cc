package org.tanagerhinge.core.message;

import java.time.Duration;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.Workspace;

/**
 * Holds the parts of a profile by which an agent admits and orders requests.
 *
 * @param tier priority, 1 (highest) to 6
 * @param sharePercent share of the backend server's service guaranteed to the class while it has queued requests
 * @param maxQueuedRequests maximum number of requests of the class queued at one agent
 * @param idempotent whether a request may be run more than once
 * @param firstOutputTarget promised time to the first output; zero for none
 * @param workspaceWeight weight of the workspace relative to others in the class
 */
public record SchedulingParameters(
        int tier,
        double sharePercent,
        int maxQueuedRequests,
        boolean idempotent,
        Duration firstOutputTarget,
        double workspaceWeight) {
    /** Returns the parameters of a profile for a workspace. */
    public static SchedulingParameters of(Profile profile, Workspace workspace) {
        return new SchedulingParameters(
                profile.tier(),
                profile.sharePercent(),
                profile.maxQueuedRequests(),
                profile.idempotent(),
                profile.firstTokenTarget().isZero() ? profile.completionTarget() : profile.firstTokenTarget(),
                workspace.weight());
    }
}
