package org.tanagerhinge.core.relay;

import java.util.Map;

/**
 * What another node told of itself.
 *
 * @param incarnation another number after each start of its process; which came later is not in the number, since the time
 *     of day may jump back between two starts
 * @param sequence greater with each report of an incarnation
 * @param address where it answers its peers, IP:PORT
 * @param storeAnswers whether the platform's store has answered its newest calls
 * @param serversAgeMillis time since its server list was asked for
 * @param serversDigest equal for equal server lists
 * @param intervalMillis time until its next report at the latest
 * @param uses what it has in progress, by backend server
 * @param demands what its callers ask, by service
 */
public record PeerReport(
        String name,
        long incarnation,
        long sequence,
        String address,
        boolean storeReachable,
        long configVersion,
        long serverListAgeMillis,
        long serverListDigest,
        long reportIntervalMillis,
        Map<String, InstanceLoad> loads,
        Map<String, LaneDemand> demands) {
    /** Requests in progress at a backend server, and prompt tokens that it still has to read for them. */
    public record InstanceLoad(int inFlight, long pendingPrefillTokens) {}
}
