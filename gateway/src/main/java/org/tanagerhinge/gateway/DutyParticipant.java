package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.DutyPeer;
import org.tanagerhinge.core.duty.DutySettings;
import org.tanagerhinge.core.duty.MedianClock;
import org.tanagerhinge.core.duty.NodeClock;
import org.tanagerhinge.core.duty.UsageCounter;
import org.tanagerhinge.core.duty.UsageDuty;
import org.tanagerhinge.core.duty.UsageReport;
import org.tanagerhinge.core.duty.UsageReporter;
import org.tanagerhinge.core.relay.PeerTable;

/**
 * Takes part in duties that one gateway performs for all: counts usage, reports it to the holder, and stands for
 * election as holder. All methods run on the event loop unless stated otherwise.
 */
final class DutyParticipant {
    private static final Logger LOG = System.getLogger(DutyParticipant.class.getName());
    private static final long STEP_MILLIS = 150;
    /** Delay after startup, during which the node serves callers without taking part in elections. */
    private static final long START_DELAY_MILLIS = 3_000;

    private static final long REPORT_TIMEOUT_MILLIS = 700;
    /** Time for which a stopping process tries to deliver its last counts to the holder. */
    private static final long FINAL_REPORT_TIMEOUT_MILLIS = 1_500;

    private static final Map<String, String> PROTOBUF =
            Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "application/x-protobuf");

    private final Gateway gateway;
    private final EventLoopGroup loop;
    private final PeerSynchronizer peers;
    private final DutyClient dutyClient;
    private final GatewayOptions.DutyOptions options;
    private final NodeClock clock;
    private final MedianClock medianClock;
    private final DutyTelemetry telemetry;
    private final UsageCounter counter;
    private final UsageReporter reporter;
    private final Map<String, DutyAnnouncement> peerStatuses = new HashMap<>();
    private UsageDuty duty;
    private SequentialHttpClient holderClient;
    private String holderAddress = "";
    private boolean intakeClosed;
    private long drainedAtMillis = Long.MAX_VALUE;
    private volatile boolean settled;

    private DutyParticipant(
            Gateway gateway,
            EventLoopGroup loop,
            PeerSynchronizer peers,
            DutyClient port,
            GatewayOptions.DutyOptions options,
            InstantSource wallClock) {
        this.gateway = gateway;
        this.loop = loop;
        this.peers = peers;
        this.dutyClient = port;
        this.options = options;
        this.clock = new HostClock(gateway, wallClock);
        this.medianClock = MedianClock.of(clock);
        this.telemetry = new DutyTelemetry(gateway, peers::reportNow);
        this.counter = UsageCounter.of(options.settings(), medianClock, peers.incarnation());
        this.reporter = UsageReporter.of(options.settings(), clock, medianClock, ThreadLocalRandom.current(), counter);
    }

    /** Provides the steady clock and the wall clock of this host. */
    private record HostClock(Gateway gateway, InstantSource wallClock) implements NodeClock {
        @Override
        public long steadyMillis() {
            return gateway.nowMillis();
        }

        @Override
        public long wallClockMillis() {
            return wallClock.millis();
        }
    }

    /** Starts counting at once, and takes part in duties after a delay. */
    static DutyParticipant start(
            Gateway gateway,
            EventLoopGroup loop,
            PeerSynchronizer peers,
            DutyClient port,
            GatewayOptions.DutyOptions options,
            InstantSource wallClock) {
        DutyParticipant participant = new DutyParticipant(gateway, loop, peers, port, options, wallClock);
        gateway.onExecutionStarted(participant.counter::recordStart);
        peers.exchangeDutyStatus(participant::status, participant::peerStatusReceived);
        gateway.schedule(() -> gateway.repeat("duties", participant::step, () -> STEP_MILLIS), START_DELAY_MILLIS);
        return participant;
    }

    double coverage() {
        return telemetry.coverage();
    }

    private DutyAnnouncement status() {
        return new DutyAnnouncement(
                clock.wallClockMillis(),
                duty == null ? 0 : duty.preference(hostCapacity()),
                token(),
                gateway.storeEra().current(),
                duty == null ? 0 : duty.committedThrough());
    }

    private int hostCapacity() {
        return gateway.draining() || !peers.storeReachable() ? 0 : options.hostCapacity();
    }

    private long token() {
        return duty == null ? 0 : duty.fencingToken();
    }

    private void peerStatusReceived(String peer, DutyAnnouncement status) {
        peerStatuses.put(peer, status);
        if (status.wallClockMillis() > 0) {
            medianClock.recordPeerTime(peer, status.wallClockMillis());
        }
    }

    private List<DutyPeer> otherNodes() {
        long nowMillis = gateway.nowMillis();
        List<DutyPeer> otherNodes = new ArrayList<>();
        for (PeerTable.Peer peer : peers.table().peers()) {
            String name = peer.report().name();
            otherNodes.add(new DutyPeer(
                    name,
                    peer.report().incarnation(),
                    PeerTable.present(peer, nowMillis),
                    peerStatuses.getOrDefault(name, DutyAnnouncement.NONE)));
        }
        return otherNodes;
    }

    private void step() {
        List<DutyPeer> otherNodes = otherNodes();
        if (peerStatuses.size() > otherNodes.size()) {
            peerStatuses
                    .keySet()
                    .retainAll(otherNodes.stream().map(DutyPeer::name).toList());
            medianClock.retainPeers(peerStatuses.keySet());
        }
        if (duty == null) {
            duty = createDuty();
        }
        long before = duty.fencingToken();
        duty.tick(otherNodes, hostCapacity());
        if (duty.fencingToken() != before) {
            peers.reportNow();
        }
        if (gateway.draining()) {
            checkFinalReport(otherNodes);
        }
        reportToHolder(otherNodes);
    }

    private UsageDuty createDuty() {
        DutySettings settings = options.settings();
        RandomGenerator random = ThreadLocalRandom.current();
        return UsageDuty.of(settings, clock, medianClock, dutyClient, random, telemetry, counter, peers.incarnation());
    }

    // ---- reports to the holder

    private void reportToHolder(List<DutyPeer> otherNodes) {
        if (token() > 0) {
            return;
        }
        Optional<DutyPeer> holder = UsageReporter.findHolder(otherNodes);
        if (holder.isEmpty()) {
            return;
        }
        long startedRequests = reporter.startedRequests();
        reporter.pollReport(holder.get(), otherNodes.size() + 1, countingFinished())
                .ifPresent(report -> sendReport(holder.get(), report, startedRequests));
    }

    private void sendReport(DutyPeer holder, UsageReport report, long startedRequests) {
        Optional<String> address = peers.table().peers().stream()
                .filter(peer -> peer.report().name().equals(holder.name()))
                .map(peer -> peer.report().address())
                .findFirst();
        if (address.isEmpty() || !connectTo(address.get())) {
            reporter.failed();
            return;
        }
        byte[] body = UsageCodec.encodeReports(List.of(report));
        holderClient.call(
                HttpMethod.POST, PeerRequestHandler.USAGE_PATH, PROTOBUF, body, REPORT_TIMEOUT_MILLIS, response -> {
                    if (response.status() != 200) {
                        gateway.count("usage_not_told");
                        reporter.failed();
                        return;
                    }
                    try {
                        long committedThrough = UsageCodec.decodeCommittedThrough(response.body());
                        reporter.acknowledged(
                                holder.announcement().fencingToken(), report, startedRequests, committedThrough);
                        duty.recordCommittedThrough(committedThrough);
                    } catch (InvalidProtocolBufferException e) {
                        LOG.log(
                                Level.ERROR,
                                "ignoring invalid acknowledgement from peer " + holder.name() + ": " + e.getMessage());
                        reporter.failed();
                    }
                });
    }

    private boolean connectTo(String address) {
        if (holderAddress.equals(address)) {
            return true;
        }
        if (holderClient != null) {
            holderClient.close();
        }
        try {
            holderClient = SequentialHttpClient.of(loop, PeerCodec.address(address));
            holderAddress = address;
            return true;
        } catch (InvalidProtocolBufferException e) {
            LOG.log(Level.WARNING, "cannot report usage, malformed peer address: " + e.getMessage());
            return false;
        }
    }

    /** Accepts usage reports of peers; returns the acknowledgement, or nothing if this node is not the holder. */
    Optional<byte[]> receiveReports(byte[] body) throws InvalidProtocolBufferException {
        if (duty == null) {
            return Optional.empty();
        }
        OptionalLong committedThrough = OptionalLong.empty();
        for (UsageReport report : UsageCodec.decodeReports(body)) {
            committedThrough = duty.acceptReport(report);
        }
        return committedThrough.isPresent()
                ? Optional.of(UsageCodec.encodeAcknowledgement(committedThrough.getAsLong()))
                : Optional.empty();
    }

    // ---- graceful stop

    /** Begins a graceful stop: gives up the duty so that another node takes it over. */
    void beginStop() {
        if (duty != null) {
            duty.stop();
        }
        peers.reportNow();
    }

    /** Notes that no further requests are accepted. */
    void intakeClosed() {
        intakeClosed = true;
    }

    private boolean countingFinished() {
        return intakeClosed && gateway.inFlight() == 0;
    }

    private void checkFinalReport(List<DutyPeer> otherNodes) {
        long nowMillis = gateway.nowMillis();
        drainedAtMillis = countingFinished() ? Math.min(drainedAtMillis, nowMillis) : Long.MAX_VALUE;
        boolean alone = otherNodes.stream().noneMatch(DutyPeer::alive);
        boolean timedOut =
                drainedAtMillis != Long.MAX_VALUE && nowMillis - drainedAtMillis >= FINAL_REPORT_TIMEOUT_MILLIS;
        settled = alone || reporter.lastReportAcknowledged() || timedOut;
    }

    /**
     * Returns whether the process may exit: the holder has acknowledged the last counts, or no holder was found in
     * time. May be called from any thread.
     */
    boolean settled() {
        return settled;
    }
}
