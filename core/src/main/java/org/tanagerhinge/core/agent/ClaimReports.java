package org.tanagerhinge.core.agent;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.tanagerhinge.core.claim.ClaimRecovery;
import org.tanagerhinge.core.hash.RendezvousHash;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;

/**
 * Keeps the claims of requests that were submitted to this agent, and those that routers reported, and reports them to a
 * few of the connected routers.
 *
 * <p>Without it, a claim that the platform's store loses in a restore is known only to the routers that were granted
 * or followed it, and is granted again once these have ended. A router that takes the place of a lost one is sent all
 * recent claims.
 */
final class ClaimReports {
    /** Number of routers to which an agent reports each claim. */
    static final int MAX_ROUTERS = 3;
    /** Claims of one message when a router is sent all recent ones; keeps the message below 64 KB. */
    private static final int MAX_CLAIMS_PER_FRAME = 256;

    private record Recent(StoredClaim claim, Instant at) {}

    private final ServerId serverId;
    private final RouterLinks links;
    private final InstantSource clock;
    private final Deque<Recent> recentClaims = new ArrayDeque<>();
    private final Set<RouterId> acceptingRouters = new LinkedHashSet<>();
    private List<RouterId> chosenRouters = List.of();

    ClaimReports(ServerId serverId, RouterLinks links, InstantSource clock) {
        this.serverId = serverId;
        this.links = links;
        this.clock = clock;
    }

    /** Adds a connected router that accepts reports; does nothing if it is known. */
    void addRouter(RouterId router) {
        if (acceptingRouters.add(router)) {
            updateChosenRouters();
        }
    }

    /** Removes a router whose connection was lost; another one takes its place. */
    void removeRouter(RouterId router) {
        if (acceptingRouters.remove(router)) {
            updateChosenRouters();
        }
    }

    /**
     * Keeps and reports a claim.
     *
     * @param from router from which this agent knows the claim
     */
    void report(StoredClaim claim, RouterId from) {
        recentClaims.addLast(new Recent(claim, clock.instant()));
        evict();
        chosenRouters.stream().filter(router -> !router.equals(from)).forEach(router -> send(router, List.of(claim)));
    }

    private void updateChosenRouters() {
        List<RouterId> before = chosenRouters;
        chosenRouters = RendezvousHash.top(serverId.value(), acceptingRouters, MAX_ROUTERS);
        evict();
        List<StoredClaim> claims = recentClaims.stream().map(Recent::claim).toList();
        chosenRouters.stream().filter(router -> !before.contains(router)).forEach(router -> send(router, claims));
    }

    private void send(RouterId router, List<StoredClaim> claims) {
        for (int from = 0; from < claims.size(); from += MAX_CLAIMS_PER_FRAME) {
            int to = Math.min(claims.size(), from + MAX_CLAIMS_PER_FRAME);
            links.send(router, new Frame.ClaimReport(List.copyOf(claims.subList(from, to))));
        }
    }

    private void evict() {
        Instant oldest = clock.instant().minus(ClaimRecovery.RETENTION);
        while (!recentClaims.isEmpty()
                && (recentClaims.getFirst().at().isBefore(oldest)
                        || recentClaims.size() > ClaimRecovery.MAX_RETAINED)) {
            recentClaims.removeFirst();
        }
    }
}
