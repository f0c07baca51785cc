package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.LeastInFlightPlacement;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Tests how a gateway catches up with reports of its peers that have queued up. */
class PeerReportBacklogTest {
    private static final int REPORTS = 200;
    private static final int MAX_TURNS = 4;
    private static final long TURN_MILLIS = 20;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private static InetSocketAddress freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static byte[] report(long sequence) {
        PeerReport report = new PeerReport(
                "peer",
                1,
                sequence,
                "127.0.0.1:1",
                true,
                0,
                0,
                0,
                Integer.MAX_VALUE,
                0,
                StorePosition.NONE,
                250,
                Map.of(),
                Map.of(),
                OptionalDouble.empty(),
                Map.of(),
                OptionalDouble.of(42.5));
        return PeerCodec.encodeState(
                new PeerCodec.PeerMessage(report, List.of(), List.of(), List.of(), DutyAnnouncement.NONE, List.of()));
    }

    private PeerSynchronizer open(InetSocketAddress address) {
        GatewayOptions options = GatewayOptionsFixture.at(address);
        Gateway gateway = Gateway.create(loop, null, options, NodeMetrics.create(), LeastInFlightPlacement.create());
        return PeerSynchronizer.open(
                gateway, loop, document -> RelayConfig.of(1, List.of(), List.of(), Map.of(), CallerLimits.DEFAULT));
    }

    /** Guards against reports that are applied ever later on a host whose event loop is slowed down by its traffic. */
    @Test
    void queuedReportsAreAppliedWithinFewTurnsOfTheEventLoop() throws Exception {
        InetSocketAddress address = freeAddress();
        PeerSynchronizer peers = open(address);
        CountDownLatch stalled = new CountDownLatch(1);
        loop.next().execute(() -> awaitUninterruptibly(stalled));
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int sequence = 1; sequence <= REPORTS; sequence++) {
                byte[] bytes = report(sequence);
                socket.send(new DatagramPacket(bytes, bytes.length, address));
            }
        }
        AtomicInteger turns = new AtomicInteger();
        CountDownLatch caughtUp = new CountDownLatch(1);
        loop.next().execute(() -> takeTurn(peers, turns, caughtUp));
        stalled.countDown();
        assertTrue(caughtUp.await(30, TimeUnit.SECONDS), "the last report was not applied");
        assertTrue(turns.get() <= MAX_TURNS, () -> "applied after " + turns + " turns");
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Occupies the event loop in each of its turns, as traffic does, until the last report is applied. */
    private void takeTurn(PeerSynchronizer peers, AtomicInteger turns, CountDownLatch caughtUp) {
        boolean applied =
                peers.table().peers().stream().anyMatch(peer -> peer.report().sequence() == REPORTS);
        if (applied) {
            caughtUp.countDown();
            return;
        }
        turns.incrementAndGet();
        sleep(TURN_MILLIS);
        loop.next().schedule(() -> takeTurn(peers, turns, caughtUp), 0, TimeUnit.MILLISECONDS);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
