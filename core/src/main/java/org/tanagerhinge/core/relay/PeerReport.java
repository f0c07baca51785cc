package org.tanagerhinge.core.relay;

import java.util.Map;
import java.util.OptionalDouble;
import org.tanagerhinge.core.store.StorePosition;

/**
 * Holds the state that another node reports about itself.
 *
 * @param incarnation differs after each restart of the node's process; not ordered, since the wall clock may step
 *     back between two starts
 * @param sequence increases with each report of an incarnation
 * @param address where the node serves its peers, IP:PORT
 * @param storeReachable whether the platform's store answered the node's latest calls
 * @param storeEra latest era of the platform's store that the node knows
 * @param configAgeMillis time since the first node received the configuration from the store
 * @param serverListAgeMillis time since the node's server list was requested
 * @param serverListDigest equal for equal server lists
 * @param serverListPosition point in the store's history at which the server list was read
 * @param reportIntervalMillis longest time until the node's next report
 * @param loads load by instance id of the backend server
 * @param demands demand of the node's callers by service
 * @param connectionsPerSecond rate of new connections of callers, including those that the node closed unread; empty
 *     while it takes none
 * @param workTimes work times that servers stated recently, by instance id
 * @param prefillTokensPerMilli prefill rate of engines of nominal speed that the node has measured, in prompt tokens per
 *     millisecond; empty until then
 */
public record PeerReport(
        String name,
        long incarnation,
        long sequence,
        String address,
        boolean storeReachable,
        long storeEra,
        long configVersion,
        long configAgeMillis,
        long serverListAgeMillis,
        long serverListDigest,
        StorePosition serverListPosition,
        long reportIntervalMillis,
        Map<String, RankedLoad> loads,
        Map<String, LaneDemand> demands,
        OptionalDouble connectionsPerSecond,
        Map<String, StatedWorkTime> workTimes,
        OptionalDouble prefillTokensPerMilli) {
    /**
     * Work time that a backend server stated to the node ({@link WorkTime}).
     *
     * @param factor 1 is nominal, greater is slower
     * @param ageMillis time since the server stated it, when the report was made
     */
    public record StatedWorkTime(double factor, long ageMillis) {}
}
