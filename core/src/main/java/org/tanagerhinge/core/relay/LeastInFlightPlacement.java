package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Optional;

/** The plain policy that the product is compared with: the server with the fewest of this node's requests. */
public final class LeastInFlightPlacement implements PlacementPolicy {
    private int rotation;

    private LeastInFlightPlacement() {}

    /** Returns the policy. */
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
        // The plain policy keeps no account of prompts.
    }

    @Override
    public void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis) {
        // The plain policy doesn't look at how fast servers read.
    }

    @Override
    public void recordEnd(PlacementRequest request, Decision decision, long nowMillis) {
        // The plain policy keeps no account of prompts.
    }
}
