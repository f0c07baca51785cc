package org.tanagerhinge.bench.capacity;

import java.time.Duration;
import java.util.Random;
import org.tanagerhinge.core.agent.AgentCore;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.wire.FrameDecoder;
import org.tanagerhinge.wire.FrameEncoder;
import org.tanagerhinge.wire.MalformedFrameException;

/** Measures the control traffic and CPU time of an idle node as a function of the number of its peers. */
final class ControlTrafficCost {
    private static final int SIMULATED_SECONDS = 20;
    private static final int TICKS_PER_SECOND = 20;
    private static final int[] PEER_COUNTS = {10, 50, 200, 750};
    private static final Duration TICK_INTERVAL = Duration.ofMillis(1000 / TICKS_PER_SECOND);

    private ControlTrafficCost() {}

    static void measure(CapacityMeasurement capacity) {
        for (int peers : PEER_COUNTS) {
            NodeCost all = routerCost(peers, peers);
            capacity.record("router control traffic, all agents linked", peers, "KB/s", all.kilobytesPerSecond);
            capacity.measureAndRecord("router control processor time, all agents linked", peers, "% of a core", () -> {
                return routerCost(peers, peers).cpuPercent;
            });
        }
        for (int peers : new int[] {200, 750}) {
            NodeCost subset = routerCost(peers, 24);
            capacity.record("router control traffic, 24 agents linked of", peers, "KB/s", subset.kilobytesPerSecond);
            capacity.measureAndRecord(
                    "router control processor time, 24 agents linked of", peers, "% of a core", () -> {
                        return routerCost(peers, 24).cpuPercent;
                    });
        }
        for (int routers : new int[] {10, 50, 200, 410}) {
            NodeCost agent = agentCost(routers);
            capacity.record("agent control traffic, routers linked", routers, "KB/s", agent.kilobytesPerSecond);
            capacity.measureAndRecord("agent control processor time, routers linked", routers, "% of a core", () -> {
                return agentCost(routers).cpuPercent;
            });
        }
    }

    private record NodeCost(double kilobytesPerSecond, double cpuPercent) {}

    private static NodeCost routerCost(int servers, int links) {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingRouterPort port = new CapacityFixture.CountingRouterPort();
        RouterCore core = RouterCore.create(
                RouterId.of("router-1", 1),
                RouterOptions.defaults(FailureDomain.of("domain-0")).withMaxLinksPerTarget(links),
                clock,
                new Random(1),
                port,
                InvariantMonitor.strict());
        ClusterConfig config = CapacityFixture.config(servers, 10);
        core.applyConfig(config);
        for (int i = 0; i < servers; i++) {
            core.onLinkUp(CapacityFixture.serverId(i), i);
        }
        int linkedAgents = core.linkedAgents();
        byte[] heartbeat = FrameEncoder.encode(Frame.Heartbeat.of(ConfigRevision.of(1, 1), 1))
                .toByteArray();
        byte[] load = FrameEncoder.encode(new Frame.LoadReport(CapacityFixture.agentLoad()))
                .toByteArray();
        long receivedBytes = 0;
        port.bytes = 0;
        long cpuNanos = ResourceProbe.ownCpuNanos();
        for (int second = 0; second < SIMULATED_SECONDS; second++) {
            for (int i = 0; i < servers; i++) {
                ServerId server = CapacityFixture.serverId(i);
                core.onFrame(server, (Frame.FromAgent) decode(heartbeat));
                core.onFrame(server, (Frame.FromAgent) decode(load));
            }
            receivedBytes += (long) linkedAgents * (heartbeat.length + load.length + 8);
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                clock.advance(TICK_INTERVAL);
                core.onTick();
            }
        }
        cpuNanos = ResourceProbe.ownCpuNanos() - cpuNanos;
        return new NodeCost(
                (receivedBytes + port.bytes) / 1000.0 / SIMULATED_SECONDS, cpuNanos / 1e9 / SIMULATED_SECONDS * 100);
    }

    private static NodeCost agentCost(int routers) {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingAgentPort port = new CapacityFixture.CountingAgentPort();
        AgentCore core = AgentCore.create(
                CapacityFixture.serverId(0), 1, AgentOptions.defaults(), clock, port, InvariantMonitor.strict());
        core.applyConfig(CapacityFixture.config(750, 10));
        for (int i = 0; i < routers; i++) {
            core.onRouterConnected(RouterId.of("router-" + i, i));
        }
        byte[] heartbeat = FrameEncoder.encode(Frame.Heartbeat.of(ConfigRevision.of(1, 1), 1))
                .toByteArray();
        long receivedBytes = 0;
        port.bytes = 0;
        long cpuNanos = ResourceProbe.ownCpuNanos();
        for (int second = 0; second < SIMULATED_SECONDS; second++) {
            for (int i = 0; i < routers; i++) {
                core.onFrame(RouterId.of("router-" + i, i), (Frame.FromRouter) decode(heartbeat));
            }
            receivedBytes += (long) routers * (heartbeat.length + 4);
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                clock.advance(TICK_INTERVAL);
                core.onTick();
            }
        }
        cpuNanos = ResourceProbe.ownCpuNanos() - cpuNanos;
        return new NodeCost(
                (receivedBytes + port.bytes) / 1000.0 / SIMULATED_SECONDS, cpuNanos / 1e9 / SIMULATED_SECONDS * 100);
    }

    private static Frame decode(byte[] encoded) {
        try {
            return FrameDecoder.decode(org.tanagerhinge.wire.proto.Packet.parseFrom(encoded));
        } catch (MalformedFrameException | com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }
}
