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
 * suspects then. So the server is checked, and has crashed if it refuses connections.
 */
final class CrashDetector {
    /** Maximum number of runs that become suspects of one crash: as many as a large server has at once. */
    private static final int MAX_SUSPECTS = 128;
    /** Time after the first broken connection within which further ones count for the same crash. */
    private static final long CRASH_WINDOW_MILLIS = 1_000;

    private static final int MAX_CRASHES_REMEMBERED = 64;

    private final Gateway gateway;
    private final Map<String, Set<SuspectRun>> suspectsByCheck = new HashMap<>();
    private final Map<String, Long> crashedAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CRASHES_REMEMBERED;
        }
    };

    CrashDetector(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Records that a connection broke with a run in flight, and checks the server unless a check is pending. */
    void connectionBroke(ServerInstance server, SuspectRun run) {
        if (crashedRecently(server)) {
            gateway.crashQuarantine().serverCrashed(server, Set.of(run));
            return;
        }
        Set<SuspectRun> suspects = suspectsByCheck.get(server.instanceId());
        if (suspects != null) {
            if (suspects.size() < MAX_SUSPECTS) {
                suspects.add(run);
            }
            return;
        }
        suspectsByCheck.put(server.instanceId(), new LinkedHashSet<>(Set.of(run)));
        gateway.livenessCheck().check(server, verdict -> checkCompleted(server, verdict));
    }

    private boolean crashedRecently(ServerInstance server) {
        Long atMillis = crashedAtMillis.get(server.instanceId());
        return atMillis != null && gateway.nowMillis() - atMillis < CRASH_WINDOW_MILLIS;
    }

    private void checkCompleted(ServerInstance server, ServerLivenessCheck.Verdict verdict) {
        Set<SuspectRun> suspects = suspectsByCheck.remove(server.instanceId());
        if (verdict != ServerLivenessCheck.Verdict.REFUSED) {
            gateway.count("broken_at_running_server");
            return;
        }
        gateway.count("server_crashed");
        crashedAtMillis.put(server.instanceId(), gateway.nowMillis());
        gateway.crashQuarantine().serverCrashed(server, suspects);
    }
}
