package org.tanagerhinge.core.message;

import java.time.Duration;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.Workspace;

/**
 * The parts of a profile that an agent orders by.
 *
 * @param tier 1 is the highest
 * @param sharePercent the part of the backend server's service that the class is guaranteed while it has work queued
 * @param maxQueuedRequests requests of the class that one agent queues at the most
 * @param firstOutputTarget time to the first output that the contract promises; zero for none
 * @param workspaceWeight weight of the workspace against others in the class
 */
public record SchedulingParameters(
        int tier,
        double sharePercent,
        int maxQueuedRequests,
        boolean idempotent,
        Duration firstOutputTarget,
        double workspaceWeight) {
    /** Returns the terms of a profile for a workspace. */
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
