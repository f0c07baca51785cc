package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.LeastInFlightPlacement;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.ServiceConfig;
import org.tanagerhinge.core.relay.WeightedService;
import org.tanagerhinge.core.relay.WorkspaceConfig;
import org.tanagerhinge.core.relay.WorkspaceUses;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Tests what the admission policy learns about requests to servers that are full. */
class RequestAdmissionTest {
    private static final String SERVICE = "plain";
    private static final WorkspaceConfig WORKSPACE = new WorkspaceConfig("w", OptionalInt.empty());

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Gateway gateway = Gateway.create(
            loop,
            null,
            GatewayOptionsFixture.at(new InetSocketAddress("127.0.0.1", 1)),
            NodeMetrics.create(),
            LeastInFlightPlacement.create());
    private final ServerRegistration registration =
            new ServerRegistration("a", 0, "v1", SERVICE, new InetSocketAddress("127.0.0.1", 1), "north", 6, false);
    private final ServerInstance server = ServerInstance.of(registration);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static AdmissionPolicy.Request request(int slots, boolean keys) {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.SAFE,
                false,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                1_000,
                199,
                0,
                0,
                false,
                false);
        ServiceConfig service = ServiceConfig.of(SERVICE, 300, slots, 0);
        RelayConfig config = RelayConfig.of(
                1, List.of(route), List.of(service), keys ? Map.of("k", WORKSPACE) : Map.of(), CallerLimits.DEFAULT);
        PlacementRequest placement = new PlacementRequest(route, service, Prompt.NONE, "north");
        return new AdmissionPolicy.Request(config, placement, Optional.of(WORKSPACE), 1_000);
    }

    private boolean isShort() {
        return gateway.admission().shares().isShort(SERVICE, gateway.nowMillis());
    }

    private PlacementPolicy.Decision decision() {
        return new PlacementPolicy.Decision(server, 0, 0, false, 0, 0, Optional.empty());
    }

    /** Guards against a shortage of plain servers that goes unseen, and one that is seen where there is none. */
    @ParameterizedTest
    @CsvSource({
        // slots of an engine, keys, leaving, failure, whether the service is short
        "0,  true,  false, NOT_RUN,  true",
        "0,  true,  true,  NOT_RUN,  false",
        "0,  true,  false, NOT_SENT, false",
        "0,  true,  false, BROKEN,   false",
        "48, true,  false, NOT_RUN,  false",
        "0,  false, false, NOT_RUN,  false",
    })
    void serverThatRejectsAsFullIsASign(
            int slots, boolean keys, boolean leaving, AttemptFailure failure, boolean sign) {
        if (leaving) {
            gateway.serverAnnouncements().recordLeaving(server.instanceId(), gateway.nowMillis());
        }
        RequestAdmission admission = RequestAdmission.of(gateway);
        assertEquals(Optional.empty(), admission.rejection(request(slots, keys), decision()));
        admission.attemptFailed(server, failure);
        assertEquals(sign, isShort());
    }

    /** Guards against requests that find all servers full and count neither as demand nor as a sign. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void requestWithoutServerIsASignIfServersAreFull(boolean full, boolean sign) {
        gateway.apply(List.of(registration), gateway.nowMillis(), StorePosition.NONE);
        if (full) {
            gateway.serverAnnouncements()
                    .recordBackoff(gateway.directory().all().iterator().next().instanceId(), Long.MAX_VALUE);
        }
        RequestAdmission.of(gateway).withoutServer(request(0, true));
        assertEquals(sign, isShort());
    }

    /** Guards against work that counts twice, or not at all, when a second server runs what the first rejected. */
    @Test
    void rejectedRequestIsAdmittedOnceByTheServerThatRunsIt() {
        RequestAdmission admission = RequestAdmission.of(gateway);
        AdmissionPolicy.Request request = request(0, true);
        admission.rejection(request, decision());
        admission.attemptFailed(server, AttemptFailure.NOT_RUN);
        assertEquals(0, reported().requests().admitted());
        admission.rejection(request, decision());
        assertEquals(reported().requests().asked(), reported().requests().admitted());
    }

    /** Guards against work of a server that may have run a request, taken back because a second server rejected it. */
    @Test
    void workThatMayHaveRunIsNotTakenBack() {
        RequestAdmission admission = RequestAdmission.of(gateway);
        AdmissionPolicy.Request request = request(0, true);
        admission.rejection(request, decision());
        admission.attemptFailed(server, AttemptFailure.BROKEN);
        admission.rejection(request, decision());
        admission.attemptFailed(server, AttemptFailure.NOT_RUN);
        assertEquals(true, isShort());
        assertEquals(reported().requests().asked(), reported().requests().admitted());
    }

    private WorkspaceUses reported() {
        return gateway.admission().shares().nextReport(1, gateway.nowMillis()).getFirst();
    }
}
