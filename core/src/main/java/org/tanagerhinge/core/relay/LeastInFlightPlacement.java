package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Optional;

/** The plain policy that the product is compared with: the server with the fewest of this node's requests. */
public final class LeastInFlightPlacement implements PlacementPolicy {
    private int turn;

    private LeastInFlightPlacement() {}

    /** Returns the policy. */
    public static LeastInFlightPlacement create() {
        return new LeastInFlightPlacement();
    }

    @Override
    public Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long now) {
        ServerInstance best = null;
        int size = candidates.size();
        turn++;
        for (int i = 0; i < size; i++) {
            ServerInstance server = candidates.get(Math.floorMod(i + turn, size));
            if (best == null || server.running() < best.running()) {
                best = server;
            }
        }
        return Optional.ofNullable(best)
                .map(server -> Decision.plain(server, request.prompt().inputTokens()));
    }

    @Override
    public void sent(PlacementRequest request, Decision placed, long now) {
        // The plain policy keeps no account of prompts.
    }

    @Override
    public void read(PlacementRequest request, Decision placed, long millis) {
        // The plain policy doesn't look at how fast servers read.
    }

    @Override
    public void ended(PlacementRequest request, Decision placed, long now) {
        // The plain policy keeps no account of prompts.
    }
}
