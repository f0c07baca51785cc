package org.tanagerhinge.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;

/** Guards against retries beyond the shared budget while engines fail and routers are restarted again and again. */
class RetriesWhileRoutersRestartTest {
    private static final int SERVERS = 8;
    private static final int REQUESTS_PER_LIFE = 30;
    private static final Duration REQUEST_GAP = Duration.ofMillis(30);
    private static final double RATIO = 0.2;
    private static final int SLACK = 20;

    @ParameterizedTest
    @CsvSource({"1, 0", "4, 0", "1, 5", "4, 5"})
    void retriesOfAllLivesOfAllRoutersStayWithinTheBudget(int routers, int restarts) {
        int retries = 0;
        for (int router = 0; router < routers; router++) {
            for (int life = 0; life <= restarts; life++) {
                retries += retriesOfOneLife(RouterId.of("router-" + router, life), routers);
            }
        }
        double allowed = RATIO * routers * (restarts + 1) * REQUESTS_PER_LIFE + SLACK;
        int made = retries;
        assertTrue(made <= allowed, () -> made + " retries, " + allowed + " allowed");
    }

    /** Returns the number of retries of a process that starts, and whose requests all fail, in less than two seconds. */
    private static int retriesOfOneLife(RouterId id, int routers) {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingRouterPort port = new CapacityFixture.CountingRouterPort();
        RouterCore core = RouterCore.create(
                id,
                RouterOptions.defaults(FailureDomain.of("domain-0")).withRouters(routers),
                clock,
                new Random(1),
                port,
                InvariantMonitor.strict());
        core.applyConfig(CapacityFixture.config(SERVERS, 1));
        for (int i = 0; i < SERVERS; i++) {
            core.onLinkUp(CapacityFixture.serverId(i), i);
            core.onFrame(CapacityFixture.serverId(i), new Frame.LoadReport(CapacityFixture.agentLoad()));
        }
        int failed = 0;
        for (int request = 0; request < REQUESTS_PER_LIFE; request++) {
            clock.advance(REQUEST_GAP);
            core.onRequest(CapacityFixture.incomingRequest(request, 0));
            while (failed < port.submits.size()) {
                ServerId server = port.lastServer;
                long attempt = port.submits.get(failed++).attempt();
                core.onFrame(
                        server,
                        new Frame.NotRun(attempt, ResultCode.QUEUE_FULL, Duration.ZERO, CapacityFixture.agentLoad()));
            }
        }
        return port.submits.size() - REQUESTS_PER_LIFE;
    }
}
