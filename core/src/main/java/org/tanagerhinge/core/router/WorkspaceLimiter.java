package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;

/** Enforces the rate and concurrency limits of each workspace for each profile at this router. */
final class WorkspaceLimiter {
    private record LimitKey(WorkspaceId workspace, ProfileName profile) {}

    private static final class LimitState {
        private int inFlight;
        private double tokens;
        private Instant refilledAt;
    }

    private final Map<LimitKey, LimitState> limits = new HashMap<>();

    /** Admits a request, or returns how long the caller should wait. */
    Optional<Duration> tryAcquire(Workspace workspace, Profile profile, Instant now) {
        LimitState state = limits.computeIfAbsent(new LimitKey(workspace.id(), profile.name()), _ -> new LimitState());
        if (profile.workspaceConcurrency() > 0 && state.inFlight >= profile.workspaceConcurrency()) {
            return Optional.of(Duration.ofSeconds(1));
        }
        if (profile.workspaceRequestsPerSecond() > 0) {
            refill(state, profile.workspaceRequestsPerSecond(), now);
            if (state.tokens < 1) {
                return Optional.of(
                        Duration.ofNanos((long) ((1 - state.tokens) / profile.workspaceRequestsPerSecond() * 1e9)));
            }
            state.tokens--;
        }
        state.inFlight++;
        return Optional.empty();
    }

    private static void refill(LimitState state, double tokensPerSecond, Instant now) {
        double burst = Math.max(1, tokensPerSecond);
        double earned = state.refilledAt == null
                ? burst
                : Duration.between(state.refilledAt, now).toNanos() / 1e9 * tokensPerSecond;
        state.tokens = Math.min(burst, state.tokens + earned);
        state.refilledAt = now;
    }

    void release(Workspace workspace, Profile profile) {
        LimitKey key = new LimitKey(workspace.id(), profile.name());
        LimitState state = limits.get(key);
        if (state != null && --state.inFlight == 0 && profile.workspaceRequestsPerSecond() == 0) {
            limits.remove(key);
        }
    }
}
