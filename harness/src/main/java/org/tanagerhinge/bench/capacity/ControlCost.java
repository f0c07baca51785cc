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

/** Control traffic and processor time of an idle node against the number of its peers. */
final class ControlCost {
    private static final int SECONDS = 20;
    private static final int TICKS_PER_SECOND = 20;
    private static final int[] PEERS = {10, 50, 200, 750};
    private static final Duration TICK = Duration.ofMillis(1000 / TICKS_PER_SECOND);

    private ControlCost() {}

    static void measure(Capacity capacity) {
        for (int peers : PEERS) {
            RouterRun all = routerRun(peers, peers);
            capacity.record("router control traffic, all agents linked", peers, "KB/s", all.kilobytesPerSecond);
            capacity.note("router control processor time, all agents linked", peers, "% of a core", () -> {
                return routerRun(peers, peers).cpuPercent;
            });
        }
        for (int peers : new int[] {200, 750}) {
            RouterRun subset = routerRun(peers, 24);
            capacity.record("router control traffic, 24 agents linked of", peers, "KB/s", subset.kilobytesPerSecond);
            capacity.note("router control processor time, 24 agents linked of", peers, "% of a core", () -> {
                return routerRun(peers, 24).cpuPercent;
            });
        }
        for (int routers : new int[] {10, 50, 200, 410}) {
            RouterRun agent = agentRun(routers);
            capacity.record("agent control traffic, routers linked", routers, "KB/s", agent.kilobytesPerSecond);
            capacity.note("agent control processor time, routers linked", routers, "% of a core", () -> {
                return agentRun(routers).cpuPercent;
            });
        }
    }

    private record RouterRun(double kilobytesPerSecond, double cpuPercent) {}

    private static RouterRun routerRun(int servers, int links) {
        Fixture.HandClock clock = new Fixture.HandClock();
        Fixture.CountingRouterPort port = new Fixture.CountingRouterPort();
        RouterCore core = RouterCore.create(
                RouterId.of("router-1", 1),
                RouterOptions.defaults(FailureDomain.of("domain-0")).withMaxLinksPerTarget(links),
                clock,
                new Random(1),
                port,
                InvariantMonitor.strict());
        ClusterConfig config = Fixture.config(servers, 10);
        core.applyConfig(config);
        for (int i = 0; i < servers; i++) {
            core.onLinkUp(Fixture.server(i), i);
        }
        int linked = core.linkedAgents();
        byte[] heartbeat = FrameEncoder.encode(new Frame.Heartbeat(ConfigRevision.of(1, 1)))
                .toByteArray();
        byte[] load = FrameEncoder.encode(new Frame.LoadReport(Fixture.load())).toByteArray();
        long received = 0;
        port.bytes = 0;
        long cpu = Probe.ownCpuNanos();
        for (int second = 0; second < SECONDS; second++) {
            for (int i = 0; i < servers; i++) {
                ServerId server = Fixture.server(i);
                core.onFrame(server, (Frame.FromAgent) decode(heartbeat));
                core.onFrame(server, (Frame.FromAgent) decode(load));
            }
            received += (long) linked * (heartbeat.length + load.length + 8);
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                clock.advance(TICK);
                core.onTick();
            }
        }
        cpu = Probe.ownCpuNanos() - cpu;
        return new RouterRun((received + port.bytes) / 1000.0 / SECONDS, cpu / 1e9 / SECONDS * 100);
    }

    private static RouterRun agentRun(int routers) {
        Fixture.HandClock clock = new Fixture.HandClock();
        Fixture.CountingAgentPort port = new Fixture.CountingAgentPort();
        AgentCore core =
                AgentCore.create(Fixture.server(0), 1, AgentOptions.defaults(), clock, port, InvariantMonitor.strict());
        core.applyConfig(Fixture.config(750, 10));
        for (int i = 0; i < routers; i++) {
            core.onRouterConnected(RouterId.of("router-" + i, i));
        }
        byte[] heartbeat = FrameEncoder.encode(new Frame.Heartbeat(ConfigRevision.of(1, 1)))
                .toByteArray();
        long received = 0;
        port.bytes = 0;
        long cpu = Probe.ownCpuNanos();
        for (int second = 0; second < SECONDS; second++) {
            for (int i = 0; i < routers; i++) {
                core.onFrame(RouterId.of("router-" + i, i), (Frame.FromRouter) decode(heartbeat));
            }
            received += (long) routers * (heartbeat.length + 4);
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                clock.advance(TICK);
                core.onTick();
            }
        }
        cpu = Probe.ownCpuNanos() - cpu;
        return new RouterRun((received + port.bytes) / 1000.0 / SECONDS, cpu / 1e9 / SECONDS * 100);
    }

    private static Frame decode(byte[] packet) {
        try {
            return FrameDecoder.decode(org.tanagerhinge.wire.proto.Packet.parseFrom(packet));
        } catch (MalformedFrameException | com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }
}
