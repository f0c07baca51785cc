package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Optional;

/** The plain policy that the product is compared with: the server with the fewest of this node's requests. */
public final class LeastInFlight implements Placement {
    private int turn;

    private LeastInFlight() {}

    /** Returns the policy. */
    public static LeastInFlight create() {
        return new LeastInFlight();
    }

    @Override
    public Optional<Placed> place(PlacementRequest request, List<RelayServer> candidates, long now) {
        RelayServer best = null;
        int size = candidates.size();
        turn++;
        for (int i = 0; i < size; i++) {
            RelayServer server = candidates.get(Math.floorMod(i + turn, size));
            if (best == null || server.running() < best.running()) {
                best = server;
            }
        }
        return Optional.ofNullable(best)
                .map(server -> Placed.plain(server, request.prompt().inputTokens()));
    }

    @Override
    public void sent(PlacementRequest request, Placed placed, long now) {
        // The plain policy keeps no account of prompts.
    }

    @Override
    public void read(PlacementRequest request, Placed placed, long millis) {
        // The plain policy doesn't look at how fast servers read.
    }

    @Override
    public void ended(PlacementRequest request, Placed placed, long now) {
        // The plain policy keeps no account of prompts.
    }
}
