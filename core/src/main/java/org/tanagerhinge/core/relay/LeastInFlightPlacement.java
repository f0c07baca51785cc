package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Optional;

/** Baseline placement policy: chooses the server with the fewest requests of this node in flight. */
public final class LeastInFlightPlacement implements PlacementPolicy {
    private int rotation;

    private LeastInFlightPlacement() {}

    /** Creates the policy. */
    public static LeastInFlightPlacement create() {
        return new LeastInFlightPlacement();
    }

    @Override
    public Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long nowMillis) {
        ServerInstance best = null;
        int size = candidates.size();
        rotation++;
        for (int i = 0; i < size; i++) {
            ServerInstance server = candidates.get(Math.floorMod(i + rotation, size));
            if (best == null || server.inFlight() < best.inFlight()) {
                best = server;
            }
        }
        return Optional.ofNullable(best)
                .map(server -> Decision.unordered(server, request.prompt().inputTokens()));
    }

    @Override
    public void recordSent(PlacementRequest request, Decision decision, long nowMillis) {
        // This policy doesn't track prompts.
    }

    @Override
    public void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis) {
        // This policy doesn't measure prefill rates.
    }

    @Override
    public void recordEnd(PlacementRequest request, Decision decision, long nowMillis) {
        // This policy doesn't track prompts.
    }
}
