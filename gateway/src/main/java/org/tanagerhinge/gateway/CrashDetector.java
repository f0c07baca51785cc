package org.tanagerhinge.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.ServerInstance;

/**
 * Tells servers that have ended from connections that merely broke, and holds an end against what was in progress there.
 *
 * <p>A connection also breaks where a server loses an answer, spoils one or closes while it is idle: requests that had to do with
 * that are not suspected. So the server is asked for a new connection, which a server that has ended doesn't take; one that is
 * made is kept for the next request.
 */
final class CrashDetector {
    /** Requests that are held responsible for one end at the most: as many as a large server runs at once. */
    private static final int MAX_SUSPECTS = 128;
    /** Other connections to a server that has ended break within this time of the first one, in milliseconds. */
    private static final long CRASH_WINDOW_MILLIS = 1_000;
    /** Ended servers that are remembered for that. */
    private static final int MAX_CRASHES_REMEMBERED = 64;

    private final Gateway gateway;
    private final Map<String, Set<RequestFingerprint>> suspectsByProbe = new HashMap<>();
    private final Map<String, Long> crashedAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CRASHES_REMEMBERED;
        }
    };

    CrashDetector(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Notes that the connection on which a request was in progress has broken. */
    void connectionBroke(ServerInstance server, RequestFingerprint request) {
        if (crashedRecently(server)) {
            gateway.serverCrashed(server, Set.of(request));
            return;
        }
        Set<RequestFingerprint> suspects = suspectsByProbe.get(server.instanceId());
        if (suspects != null) {
            if (suspects.size() < MAX_SUSPECTS) {
                suspects.add(request);
            }
            return;
        }
        suspectsByProbe.put(server.instanceId(), new LinkedHashSet<>(Set.of(request)));
        gateway.pool().connect(server, connection -> probeCompleted(server, connection));
    }

    private boolean crashedRecently(ServerInstance server) {
        Long atMillis = crashedAtMillis.get(server.instanceId());
        return atMillis != null && gateway.nowMillis() - atMillis < CRASH_WINDOW_MILLIS;
    }

    private void probeCompleted(ServerInstance server, BackendConnection connection) {
        Set<RequestFingerprint> suspects = suspectsByProbe.remove(server.instanceId());
        if (connection != null) {
            gateway.pool().release(connection);
            return;
        }
        crashedAtMillis.put(server.instanceId(), gateway.nowMillis());
        gateway.serverCrashed(server, suspects);
    }
}
