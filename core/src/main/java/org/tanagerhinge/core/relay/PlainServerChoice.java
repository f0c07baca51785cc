package org.tanagerhinge.core.relay;

import java.util.List;

/** Chooses a plain server by the time that a request is expected to take there. */
final class PlainServerChoice {
    /** Cost of a server in another failure domain, as a share of a request's time on a server of nominal speed. */
    private static final double OTHER_DOMAIN_COST = 0.01;

    private int rotation;

    private PlainServerChoice() {}

    static PlainServerChoice create() {
        return new PlainServerChoice();
    }

    PlacementPolicy.Decision choose(PlacementRequest request, List<ServerInstance> candidates, long nowMillis) {
        rotation++;
        boolean workTimeKnown =
                candidates.stream().anyMatch(server -> server.workTime().known());
        ServerInstance best = null;
        double bestCost = 0;
        for (int i = 0; i < candidates.size(); i++) {
            ServerInstance server = candidates.get(Math.floorMod(i + rotation, candidates.size()));
            double cost = cost(server, workTimeKnown, nowMillis)
                    + (server.domain().equals(request.domain()) ? 0 : OTHER_DOMAIN_COST);
            if (best == null || cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return PlacementPolicy.Decision.unordered(best, 0);
    }

    /**
     * Returns the cost of a server: its load and, if any server states its work time, the expected time of the request
     * in units of its nominal time.
     */
    private static double cost(ServerInstance server, boolean workTimeKnown, long nowMillis) {
        double load = server.totalInFlight() / (double) Math.max(1, server.slots());
        double expectedTime = Math.max(1, load) * server.workTime().current(nowMillis);
        return workTimeKnown ? load + expectedTime : load;
    }
}
