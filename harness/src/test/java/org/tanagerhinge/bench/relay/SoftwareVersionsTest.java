package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/** Streams where servers of several software versions serve side by side: each holds events of one version only. */
class SoftwareVersionsTest {
    private static final int EVENTS = 12;
    private static final int STREAMS = 8;
    /** Time without a list, longer than that in which a version cannot have served unnoticed. */
    private static final long LIST_GAP_MILLIS = 7_000;
    /** Number of services; more than a transaction of the store takes. */
    private static final int MANY = 40;

    private static final long EVENT_GAP_MILLIS = 10;

    private RelayScene scene;
    private ObjectNode route;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("model", 8);
        scene.platform.service("other", 8);
        route = scene.platform.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private ServerStandin sound(String id, String version) {
        return scene.server(id, "model", version, ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
    }

    /** Starts gateways that present each other as peers. */
    private List<GatewayDaemon> gateways(int count) throws IOException {
        List<GatewayDaemon> gateways = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            gateways.add(scene.gateway());
        }
        for (GatewayDaemon gateway : gateways) {
            RelayScene.await(() -> gateway.peersPresent() == count - 1);
        }
        return gateways;
    }

    /** Begins streams that are all open at the same time, so that they spread over the servers. */
    private static List<StreamCaller> begin(GatewayDaemon gateway) throws IOException {
        List<StreamCaller> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            StreamCaller caller = StreamCaller.of("/stream/x", "stream-" + i);
            assertEquals(200, caller.send(gateway));
            caller.readUntil(1);
            callers.add(caller);
        }
        return callers;
    }

    private static void assertContinues(StreamCaller caller, GatewayDaemon gateway) throws IOException {
        assertEquals(200, caller.send(gateway));
        assertTrue(caller.readToEnd());
        assertTrue(caller.whole());
        assertEquals(1, caller.softwareVersions().size(), () -> "versions " + caller.softwareVersions());
    }

    /** Guards against a gateway that continues a broken stream at a server of another software version. */
    @Test
    void brokenStreamContinuesAtItsSoftwareVersion() throws IOException {
        ServerStandin cutting = scene.server("e-1", "model", "v1", ServerStandin.cutWithin(4));
        sound("e-2", "v1");
        sound("e-3", "v2");
        sound("e-4", "v2");
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < STREAMS; i++) {
            try (StreamCaller caller = StreamCaller.of("/stream/x", "stream-" + i)) {
                assertContinues(caller, gateway);
            }
        }
        assertFalse(cutting.receivedRequests().isEmpty());
    }

    /** Guards against a gateway that continues a broken stream elsewhere when its software version is gone. */
    @Test
    void brokenStreamIsCutIfNoServerOfItsSoftwareVersionIsLeft() throws IOException {
        scene.server("e-1", "model", "v1", ServerStandin.cutWithin(4));
        sound("e-2", "v2");
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < STREAMS; i++) {
            try (StreamCaller caller = StreamCaller.of("/stream/x", "stream-" + i)) {
                assertEquals(200, caller.send(gateway));
                boolean whole = caller.readToEnd();
                assertEquals(whole ? Set.of("v2") : Set.of("v1"), caller.softwareVersions());
            }
        }
    }

    /** Guards against a gateway that does not know which software version began the stream that a caller resumes. */
    @Test
    void callerResumesAtAnotherGateway() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v2");
        sound("e-3", "v3");
        List<GatewayDaemon> gateways = gateways(2);
        for (StreamCaller caller : begin(gateways.get(0))) {
            assertContinues(caller, gateways.get(1));
            caller.close();
        }
    }

    /** Guards against knowledge of a stream's software version that ends with the gateway where the stream began. */
    @Test
    void callerResumesAfterItsGatewayHasEnded() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v2");
        sound("e-3", "v3");
        List<GatewayDaemon> gateways = gateways(4);
        List<StreamCaller> callers = begin(gateways.get(0));
        scene.stop(gateways.get(0));
        for (int i = 0; i < STREAMS; i++) {
            try (StreamCaller caller = callers.get(i)) {
                assertContinues(caller, gateways.get(1 + i % 3));
            }
        }
    }

    /** Guards against a gateway that has just started and lets a caller's stream continue at any software version. */
    @Test
    void callerResumesAtAGatewayThatHasJustStarted() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v2");
        List<GatewayDaemon> gateways = gateways(3);
        List<StreamCaller> callers = begin(gateways.get(0));
        GatewayDaemon started = scene.gateway();
        for (StreamCaller caller : callers) {
            assertContinues(caller, started);
            caller.close();
        }
    }

    /** Guards against a second resumption that is matched with the first one instead of the stream's beginning. */
    @Test
    void callerResumesTwice() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v2");
        List<GatewayDaemon> gateways = gateways(3);
        List<StreamCaller> callers = begin(gateways.get(0));
        for (StreamCaller caller : callers) {
            assertEquals(200, caller.send(gateways.get(1)));
            caller.readUntil(caller.lastEvent() + 1);
        }
        for (StreamCaller caller : callers) {
            assertContinues(caller, gateways.get(2));
            caller.close();
        }
    }

    /** Guards against a resumed stream that goes to another service of a split route than the one that began it. */
    @Test
    void callerResumesAtTheServiceThatBeganItsStream() throws IOException {
        route.putArray(PlatformNames.TRAFFIC_SPLIT)
                .add(route.objectNode().put("service", "model").put("weight", 1))
                .add(route.objectNode().put("service", "other").put("weight", 1));
        scene.platform.publish();
        sound("e-1", "a-1");
        scene.server("e-2", "other", "b-1", ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
        List<GatewayDaemon> gateways = gateways(2);
        for (StreamCaller caller : begin(gateways.get(0))) {
            assertContinues(caller, gateways.get(1));
            caller.close();
        }
    }

    /** Guards against streams that are refused since a configuration has moved their route to another service. */
    @Test
    void callerResumesAfterItsRouteHasMovedToAnotherService() throws IOException {
        sound("e-1", "v1");
        scene.server("e-2", "other", "v1", ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
        scene.server("e-3", "other", "v2", ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
        List<GatewayDaemon> gateways = gateways(2);
        List<StreamCaller> callers = begin(gateways.get(0));
        route.put("service", "other");
        long version = scene.platform.publish();
        RelayScene.await(() -> gateways.get(1).configVersion() == version);
        for (StreamCaller caller : callers) {
            assertContinues(caller, gateways.get(1));
            caller.close();
        }
    }

    /** Guards against a stream that continues at another software version after all gateways have ended. */
    @Test
    void callerResumesAfterAllGatewaysHaveEnded() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v2");
        List<GatewayDaemon> gateways = gateways(2);
        List<StreamCaller> callers = begin(gateways.get(0));
        gateways.forEach(scene::stop);
        GatewayDaemon started = scene.gateway();
        for (StreamCaller caller : callers) {
            int status = caller.send(started);
            assertTrue(status == 503 || caller.readToEnd());
            assertEquals(1, caller.softwareVersions().size());
            caller.close();
        }
    }

    /** Guards against a stream of a software version that is gone, which continues at the versions that are left. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamOfASoftwareVersionThatIsGoneIsRefused(boolean gatewayStartsAfterwards) throws IOException {
        ServerStandin old = sound("e-1", "v1");
        List<GatewayDaemon> gateways = gateways(2);
        try (StreamCaller caller = begin(gateways.get(0)).get(0)) {
            ServerStandin other = sound("e-2", "v2");
            scene.platform.unregister(old);
            RelayScene.await(() -> {
                RelayScene.status(gateways.get(1), "/stream/other");
                return !other.receivedRequests().isEmpty();
            });
            int before = other.receivedRequests().size();
            if (gatewayStartsAfterwards) {
                gateways.forEach(scene::stop);
            }
            assertEquals(503, caller.send(gatewayStartsAfterwards ? scene.gateway() : gateways.get(1)));
            assertEquals(before, other.receivedRequests().size());
        }
    }

    /** Guards against a stream whose version was replaced by another while no gateway ran, and that continues there. */
    @Test
    void streamOfASoftwareVersionThatWasReplacedWhileNoGatewayRanIsRefused() throws IOException {
        ServerStandin old = sound("e-1", "v1");
        List<GatewayDaemon> gateways = gateways(2);
        List<StreamCaller> callers = begin(gateways.get(0));
        scene.stopTogether(gateways);
        scene.platform.unregister(old);
        ServerStandin other = sound("e-2", "v2");
        GatewayDaemon started = scene.gateway();
        for (StreamCaller caller : callers) {
            assertEquals(503, caller.send(started));
            caller.close();
        }
        assertTrue(other.receivedRequests().isEmpty());
    }

    /** Guards against a gateway that does not know a version which left between its listing of versions and of servers. */
    @Test
    void versionThatLeftBeforeTheFirstListOfServersIsKnown() throws IOException {
        ServerStandin first = sound("e-1", "v1");
        scene.stop(scene.gateway());
        scene.store.alterResponses(
                body -> body.contains('"' + PlatformNames.SERVERS_PREFIX) || body.contains(PlatformNames.TTL_MILLIS)
                        ? "{"
                        : body);
        GatewayDaemon late = scene.start("late", scene.store.sideAddress());
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > listings + 5);
        scene.store.sideFaultMode(StoreStandin.FaultMode.SILENT);
        scene.store.alterResponses(body -> body);

        scene.platform.unregister(first);
        ServerStandin second = sound("e-2", "v2");
        GatewayDaemon other = scene.gateway();
        List<StreamCaller> callers = begin(other);
        RelayScene.await(() -> scene.store.keys("software/").contains("software/model/v2"));
        scene.stop(other);
        scene.platform.unregister(second);
        sound("e-3", "v1");

        scene.store.sideFaultMode(StoreStandin.FaultMode.SERVES);
        RelayScene.await(late::ready);
        for (StreamCaller caller : callers) {
            assertEquals(503, caller.send(late));
            caller.close();
        }
    }

    /** Guards against a gateway that does not know a version which came and left while it had no list of servers. */
    @Test
    void versionThatServedWhileAGatewayHadNoListIsKnown() throws IOException {
        ServerStandin server = sound("e-1", "v1");
        GatewayDaemon gateway = scene.gateway();
        assertEquals(200, resumeUnknownStream(gateway, "first"));
        int before = server.receivedRequests().size();
        scene.store.faultMode(StoreStandin.FaultMode.SILENT);
        scene.store.put("software/model/v2", "v2");
        RelayScene.sleep(LIST_GAP_MILLIS);
        scene.store.faultMode(StoreStandin.FaultMode.SERVES);
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > listings + 3);
        assertEquals(503, resumeUnknownStream(gateway, "second"));
        assertEquals(before, server.receivedRequests().size());
    }

    /** Guards against versions that are not stored, since the store rejects a transaction with too many or too long keys. */
    @Test
    void versionsOfManyServicesAreStored() throws IOException {
        for (int i = 0; i < MANY; i++) {
            scene.server("s-" + i, "service-" + i, "v1", ServerStandin.plain(200, "x"));
        }
        scene.server("t", "service-t", "v".repeat(MANY * MANY), ServerStandin.plain(200, "x"));
        scene.gateway();
        RelayScene.await(() -> scene.store.keys("software/").size() == MANY);
    }

    /** Guards against refused streams where a single software version serves, whatever gateways know of them. */
    @Test
    void streamsContinueWithoutKnowledgeWhereOneSoftwareVersionServes() throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v1");
        List<GatewayDaemon> gateways = gateways(2);
        List<StreamCaller> callers = begin(gateways.get(0));
        gateways.forEach(scene::stop);
        GatewayDaemon started = scene.gateway();
        for (StreamCaller caller : callers) {
            assertContinues(caller, started);
            caller.close();
        }
    }

    /** Guards against refused streams where a single software version serves, while the store doesn't answer. */
    @ParameterizedTest
    @EnumSource(
            value = StoreStandin.FaultMode.class,
            names = {"BUSY", "SILENT"})
    void streamsContinueInAnOutageOfTheStoreWhereOneSoftwareVersionServes(StoreStandin.FaultMode fault)
            throws IOException {
        sound("e-1", "v1");
        sound("e-2", "v1");
        List<GatewayDaemon> gateways = gateways(3);
        scene.store.faultMode(fault);
        for (StreamCaller caller : begin(gateways.get(0))) {
            assertContinues(caller, gateways.get(1));
            caller.close();
        }
    }

    /** Guards against streams that began before a second software version appeared, and are not known afterwards. */
    @Test
    void callerResumesAStreamThatBeganBeforeTheSecondSoftwareVersionAppeared() throws IOException {
        sound("e-1", "v1");
        List<GatewayDaemon> gateways = gateways(4);
        List<StreamCaller> callers = begin(gateways.get(0));
        ServerStandin added = sound("e-2", "v2");
        for (GatewayDaemon gateway : gateways) {
            RelayScene.await(() -> {
                int before = added.receivedRequests().size();
                RelayScene.status(gateway, "/stream/other");
                return added.receivedRequests().size() > before;
            });
        }
        scene.stop(gateways.get(0));
        for (int i = 0; i < STREAMS; i++) {
            try (StreamCaller caller = callers.get(i)) {
                assertContinues(caller, gateways.get(1 + i % 3));
            }
        }
    }

    private static int resumeUnknownStream(GatewayDaemon gateway, String stream) throws IOException {
        String resumption = PlatformNames.RESUMES + ": " + stream + "\r\n" + PlatformNames.LAST_EVENT_ID + ": 3\r\n";
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", "/stream/x", "attempt", resumption, "{}"))
                    .status();
        }
    }

    /** Guards against a refusal that is no promise: an unknown stream reaches no server. */
    @Test
    void streamWhoseBeginningNobodyKnowsIsRefusedUnrun() throws IOException {
        ServerStandin first = sound("e-1", "v1");
        ServerStandin second = sound("e-2", "v2");
        GatewayDaemon gateway = gateways(2).get(0);
        String resumption = PlatformNames.RESUMES + ": nobody-knows\r\n" + PlatformNames.LAST_EVENT_ID + ": 3\r\n";
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            RawCaller.Answer answer =
                    caller.exchange(RawCaller.request("POST", "/stream/x", "attempt", resumption, "{}"));
            assertEquals(503, answer.status());
            assertFalse(answer.header("Retry-After").isEmpty());
        }
        assertTrue(first.receivedRequests().isEmpty());
        assertTrue(second.receivedRequests().isEmpty());
    }
}
