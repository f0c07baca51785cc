package org.tanagerhinge.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.relay.ServerInstance;

/**
 * Distinguishes crashed servers from broken connections, and reports the runs that were in flight at a crash.
 *
 * <p>A connection also breaks if a server loses or corrupts a response or closes while idle; the affected runs are not
 * suspects then. So the server is probed with a new connection, which a crashed server refuses; a successful connection
 * goes to the pool.
 */
final class CrashDetector {
    /** Maximum number of runs that become suspects of one crash: as many as a large server has at once. */
    private static final int MAX_SUSPECTS = 128;
    /** Time after the first broken connection within which further ones count for the same crash. */
    private static final long CRASH_WINDOW_MILLIS = 1_000;

    private static final int MAX_CRASHES_REMEMBERED = 64;

    private final Gateway gateway;
    private final Map<String, Set<SuspectRun>> suspectsByProbe = new HashMap<>();
    private final Map<String, Long> crashedAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CRASHES_REMEMBERED;
        }
    };

    CrashDetector(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Records that a connection broke with a run in flight, and probes the server unless a probe is pending. */
    void connectionBroke(ServerInstance server, SuspectRun run) {
        if (crashedRecently(server)) {
            gateway.crashQuarantine().serverCrashed(server, Set.of(run));
            return;
        }
        Set<SuspectRun> suspects = suspectsByProbe.get(server.instanceId());
        if (suspects != null) {
            if (suspects.size() < MAX_SUSPECTS) {
                suspects.add(run);
            }
            return;
        }
        suspectsByProbe.put(server.instanceId(), new LinkedHashSet<>(Set.of(run)));
        gateway.pool().connect(server, connection -> probeCompleted(server, connection));
    }

    private boolean crashedRecently(ServerInstance server) {
        Long atMillis = crashedAtMillis.get(server.instanceId());
        return atMillis != null && gateway.nowMillis() - atMillis < CRASH_WINDOW_MILLIS;
    }

    private void probeCompleted(ServerInstance server, BackendConnection connection) {
        Set<SuspectRun> suspects = suspectsByProbe.remove(server.instanceId());
        if (connection != null) {
            gateway.count("broken_at_running_server");
            gateway.pool().release(connection);
            return;
        }
        gateway.count("server_crashed");
        crashedAtMillis.put(server.instanceId(), gateway.nowMillis());
        gateway.crashQuarantine().serverCrashed(server, suspects);
    }
}
