package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PeerLoadUpdater;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PeerTable;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankedLoad;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ReportSchedule;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.daemon.Incarnation;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Exchanges datagrams with peer gateways: messages about streams ({@link StreamTracker}), and state reports with load,
 * demand, cached prefixes, and the versions of configuration and server list. A gateway with an older version requests
 * the newer one from the peer over TCP.
 */
final class PeerSynchronizer {
    private static final Logger LOG = System.getLogger(PeerSynchronizer.class.getName());
    static final int MAX_DATAGRAM_BYTES = 4_096;
    /**
     * Maximum number of reports received in one turn of the event loop; more than the socket's buffer holds, so that
     * reports do not queue up on a host where a turn takes long.
     */
    private static final int MAX_REPORTS_PER_TURN = 1_024;

    /** Delay that collects the broken connections of one crash in a single report. */
    private static final long BATCH_DELAY_MILLIS = 20;
    /** Age, added to two report intervals, up to which a server list counts as current: two polls have failed. */
    private static final long CURRENT_LIST_MILLIS = 2_000;
    /** Minimum age difference at which a peer's newer server list is requested. */
    private static final long MIN_AGE_GAIN_MILLIS = 50;

    private final Gateway gateway;
    private final PeerClient client;
    private final PeerTable table;
    private final PeerLoadUpdater load;
    private final Function<byte[], RelayConfig> decoder;
    private final long incarnation = Incarnation.next();
    private final Set<InetSocketAddress> addresses = new HashSet<>();
    private final List<PeerCodec.CachedPrefix> pendingPrefixes = new ArrayList<>();
    private Set<String> presentPeers = Set.of();
    private BooleanSupplier storeReachable = () -> true;
    private Runnable configFetchFailureListener = () -> {};
    private Supplier<DutyAnnouncement> dutyStatus = () -> DutyAnnouncement.NONE;
    private BiConsumer<String, DutyAnnouncement> dutyListener = (peer, status) -> {};
    private long sequence;
    private long tokensSinceReport;
    private long reportedAtMillis;
    private Channel channel;
    private boolean configRequestInFlight;
    private long loggedConfigVersion;
    private int fullReportTurn;
    private int partRefreshTurn;
    private boolean reportScheduled;
    private boolean serversRequestInFlight;

    private PeerSynchronizer(Gateway gateway, EventLoopGroup loop, Function<byte[], RelayConfig> decoder) {
        this.gateway = gateway;
        this.client = PeerClient.of(loop);
        this.table = PeerTable.of(gateway.options().name());
        this.load = PeerLoadUpdater.of(gateway.directory()::instance);
        this.decoder = decoder;
    }

    /** Opens the datagram socket and starts reporting. */
    static PeerSynchronizer open(Gateway gateway, EventLoopGroup loop, Function<byte[], RelayConfig> decoder) {
        PeerSynchronizer peers = new PeerSynchronizer(gateway, loop, decoder);
        peers.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_REPORTS_PER_TURN))
                .handler(peers.new ReportHandler())
                .bind(gateway.options().peerAddress())
                .syncUninterruptibly()
                .channel();
        gateway.crashQuarantine().onSuspicion(peers::reportSoon);
        gateway.streams().connect(peers.new StreamPeers());
        loop.next().execute(() -> gateway.repeat("peer_reports", peers::reportPeriodically, peers::intervalMillis));
        return peers;
    }

    PeerTable table() {
        return table;
    }

    /** Returns the address of this gateway for its peers, as IP:PORT. */
    String address() {
        return PeerCodec.text(gateway.options().peerAddress());
    }

    void storeReachable(BooleanSupplier supplier) {
        storeReachable = supplier;
    }

    /** Registers the listener for failures to fetch a newer configuration from a peer. */
    void onConfigFetchFailed(Runnable listener) {
        configFetchFailureListener = listener;
    }

    /** Sends {@code status} with each report, and passes the status of each peer to {@code listener}. */
    void exchangeDutyStatus(Supplier<DutyAnnouncement> status, BiConsumer<String, DutyAnnouncement> listener) {
        dutyStatus = status;
        dutyListener = listener;
    }

    boolean storeReachable() {
        return storeReachable.getAsBoolean();
    }

    long incarnation() {
        return incarnation;
    }

    /** Adds peer addresses from the platform's store, and reports to them. */
    void addresses(List<String> addressTexts) {
        for (String text : addressTexts) {
            addPeerAddress(text);
        }
        reportNow();
    }

    private void addPeerAddress(String text) {
        try {
            if (!text.equals(address())) {
                addresses.add(PeerCodec.address(text));
            }
        } catch (InvalidProtocolBufferException e) {
            LOG.log(Level.WARNING, "ignoring malformed peer address: " + e.getMessage());
        }
    }

    /** Records a prompt that was sent to a server; its shared parts go into the next report. */
    void promptSent(ServerInstance server, Prompt prompt) {
        reportIfDue(prompt.inputTokens());
        if (pendingPrefixes.size() < ReportSchedule.MAX_PROMPTS_PER_REPORT
                && prompt.parts().size() > 1) {
            List<PromptPart> shared = prompt.sharedParts();
            int count = Math.min(shared.size(), ReportSchedule.MAX_PARTS_PER_REPORTED_PROMPT);
            pendingPrefixes.add(new PeerCodec.CachedPrefix(server.instanceId(), shared.subList(0, count)));
        }
    }

    private void reportPeriodically() {
        table.forgetSilent(gateway.nowMillis());
        // Peers take this gateway for absent without its report, whatever another peer's makes a step throw.
        gateway.runGuarded(() -> logPresenceChanges(gateway.nowMillis()));
        gateway.runGuarded(this::refreshTotals);
        sendReport(gateway.crashQuarantine().requests().nextRefreshes(gateway.nowMillis()));
        refreshPartSuspicions();
    }

    /** Returns the interval between reports while the load hardly changes; it grows with the number of peers. */
    long intervalMillis() {
        return ReportSchedule.idleIntervalMillis(addresses.size());
    }

    private void reportIfDue(int tokens) {
        tokensSinceReport += tokens;
        if (tokensSinceReport >= ReportSchedule.EARLY_REPORT_TOKENS
                && gateway.nowMillis() - reportedAtMillis >= ReportSchedule.minIntervalMillis(addresses.size())) {
            reportNow();
        }
    }

    /** Reports after a short delay, so that the many broken connections of one crash share a report. */
    private void reportSoon() {
        if (!reportScheduled) {
            reportScheduled = true;
            gateway.schedule(
                    () -> {
                        reportScheduled = false;
                        reportNow();
                    },
                    BATCH_DELAY_MILLIS);
        }
    }

    /** Sends this gateway's state to all peers immediately. */
    void reportNow() {
        sendReport(List.of());
    }

    /**
     * Sends this gateway's state to all peers, and the standing suspicions to one peer in turn. A peer that missed
     * earlier reports thus learns of all suspicions soon, without any node sending them to everyone.
     */
    private void sendReport(List<RequestQuarantine.Suspicion> standing) {
        PeerReport state = currentReport();
        List<RequestQuarantine.Suspicion> unreported =
                gateway.crashQuarantine().requests().pendingUpdates(gateway.nowMillis());
        List<String> leaving = gateway.serverAnnouncements().nextLeavingReport();
        PeerCodec.PeerMessage message = new PeerCodec.PeerMessage(
                state,
                List.copyOf(pendingPrefixes),
                unreported,
                leaving,
                dutyStatus.get(),
                gateway.admission().shares().nextReport(addresses.size(), gateway.nowMillis()));
        byte[] bytes = encodeForDatagram(message);
        byte[] fullBytes = bytes;
        int fullReportIndex = -1;
        if (!standing.isEmpty() && !addresses.isEmpty()) {
            fullBytes = encodeForDatagram(message.withSuspicions(standing));
            fullReportTurn = (fullReportTurn + 1) % addresses.size();
            fullReportIndex = fullReportTurn;
        }
        pendingPrefixes.clear();
        tokensSinceReport = 0;
        reportedAtMillis = gateway.nowMillis();
        int index = 0;
        for (InetSocketAddress address : addresses) {
            channel.write(
                    new DatagramPacket(Unpooled.wrappedBuffer(index == fullReportIndex ? fullBytes : bytes), address));
            index++;
        }
        reportCrashes();
        channel.flush();
    }

    /**
     * Encodes a report, and leaves out cached prefixes if it wouldn't fit into a datagram: peers take a gateway whose
     * reports they can't read for absent, while they only estimate worse without some prefixes.
     */
    private byte[] encodeForDatagram(PeerCodec.PeerMessage message) {
        PeerCodec.PeerMessage reduced = message;
        byte[] bytes = PeerCodec.encodeState(reduced);
        while (bytes.length > MAX_DATAGRAM_BYTES && !reduced.cachedPrefixes().isEmpty()) {
            gateway.count("peer_report_reduced");
            reduced = reduced.withCachedPrefixes(
                    reduced.cachedPrefixes().subList(0, reduced.cachedPrefixes().size() / 2));
            bytes = PeerCodec.encodeState(reduced);
        }
        return bytes;
    }

    /** Sends what is new of crashed servers and suspected prompt parts to all peers. */
    private void reportCrashes() {
        for (CrashMessage message : gateway.crashQuarantine().takeUpdates()) {
            byte[] bytes = message.encode();
            addresses.forEach(address -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address)));
        }
    }

    /** Sends some standing suspicions against prompt parts to one peer in turn, which may have missed the updates. */
    private void refreshPartSuspicions() {
        if (addresses.isEmpty()) {
            return;
        }
        partRefreshTurn = (partRefreshTurn + 1) % addresses.size();
        InetSocketAddress address =
                addresses.stream().skip(partRefreshTurn).findFirst().orElseThrow();
        gateway.crashQuarantine().takeRefreshes().forEach(message -> send(address, message.encode()));
    }

    private PeerReport currentReport() {
        long nowMillis = gateway.nowMillis();
        Map<String, RankedLoad> uses = new HashMap<>();
        Map<String, PeerReport.StatedWorkTime> workTimes = new HashMap<>();
        for (ServerInstance server : gateway.directory().all()) {
            if (server.inFlight() > 0) {
                uses.put(server.instanceId(), server.load().copy());
                server.workTime()
                        .recentlyStated(nowMillis)
                        .ifPresent(workTime -> workTimes.put(server.instanceId(), workTime));
            }
        }
        return new PeerReport(
                gateway.options().name(),
                incarnation,
                ++sequence,
                address(),
                storeReachable.getAsBoolean(),
                gateway.storeEra().current(),
                gateway.configVersion(),
                gateway.configAgeMillis(),
                gateway.directory().hasList() ? nowMillis - gateway.directory().newestListMillis() : Integer.MAX_VALUE,
                gateway.directory().digest(),
                gateway.directory().position(),
                intervalMillis(),
                uses,
                gateway.placement().localDemands(nowMillis),
                gateway.ready()
                        ? OptionalDouble.of(gateway.shedding().connectionsPerSecond(nowMillis))
                        : OptionalDouble.empty(),
                workTimes,
                gateway.placement().measuredPrefillRate());
    }

    private void receive(PeerCodec.PeerMessage message) {
        PeerReport report = message.report();
        long nowMillis = gateway.nowMillis();
        Map<String, RankedLoad> before = table.loads(report.name(), nowMillis);
        if (!table.accept(report, nowMillis)) {
            return;
        }
        addPeerAddress(report.address());
        gateway.storeEra().observeFromPeer(report.storeEra(), "peer " + report.name());
        dutyListener.accept(report.name(), message.dutyStatus());
        gateway.fleetSize().heard(report.address(), nowMillis);
        for (PeerCodec.CachedPrefix parts : message.cachedPrefixes()) {
            gateway.promptSentByPeer(parts.instanceId(), parts.parts());
        }
        message.suspicions()
                .forEach(suspicion -> gateway.crashQuarantine().suspicionReceived(report.name(), suspicion));
        message.leavingInstances().forEach(gateway::serverLeavingReported);
        gateway.admission().shares().accept(report.name(), message.workspaceUses(), nowMillis);
        applyLoadChange(before, report.loads());
        load.recordWorkTimes(report.workTimes(), gateway.placement(), nowMillis);
        if (report.configVersion() > gateway.configVersion()) {
            requestConfig(report);
        }
        compareServerLists(report, nowMillis);
    }

    /**
     * Confirms this gateway's server list, or requests the peer's if that is newer. A list that was read at an earlier
     * point of the store's history is never newer, whatever its stated age: the clock of a host does not count the time
     * for which it was suspended, and a report may have waited in a suspended host's socket.
     */
    private void compareServerLists(PeerReport report, long nowMillis) {
        boolean hasList = gateway.directory().hasList();
        if (hasList && isOutdated(report.serverListPosition())) {
            return;
        }
        long ageMillis = hasList ? nowMillis - gateway.directory().newestListMillis() : Long.MAX_VALUE;
        boolean younger = report.serverListAgeMillis() + MIN_AGE_GAIN_MILLIS < ageMillis;
        if (hasList && report.serverListDigest() == gateway.directory().digest()) {
            if (younger) {
                gateway.directory().confirmList(nowMillis - report.serverListAgeMillis());
            }
        } else if (younger || gateway.directory().position().isBefore(report.serverListPosition())) {
            requestServers(report);
        }
    }

    /** Returns whether a server list was read before this gateway's; not if a peer doesn't tell. */
    private boolean isOutdated(StorePosition position) {
        return !position.equals(StorePosition.NONE)
                && position.isBefore(gateway.directory().position());
    }

    /**
     * Applies the load change of one peer's report. Recomputing the totals for each report would cost quadratic time in
     * the number of peers; they are recomputed periodically, when silent peers drop out.
     */
    private void applyLoadChange(Map<String, RankedLoad> before, Map<String, RankedLoad> after) {
        if (!gateway.enabled(Mechanism.PEER_LOAD)) {
            return;
        }
        gateway.peerLoadAvailable(true);
        load.applyChange(before, after);
    }

    /** Recomputes the load and demand of all present peers. */
    private void refreshTotals() {
        long nowMillis = gateway.nowMillis();
        boolean anyPresent = table.anyPresent(nowMillis) && gateway.enabled(Mechanism.PEER_LOAD);
        gateway.peerLoadAvailable(anyPresent);
        gateway.shedding().updatePeerRate(table.meanConnectionsPerSecond(nowMillis));
        if (!anyPresent) {
            return;
        }
        load.applyTotals(gateway.directory().all(), table.loads(nowMillis));
        gateway.placement().updatePeerDemands(table.demands(nowMillis));
        table.meanPrefillRate(nowMillis).ifPresent(gateway.placement()::adoptPrefillRate);
    }

    private void logPresenceChanges(long nowMillis) {
        Set<String> nowPresent = table.present(nowMillis);
        for (String name : nowPresent) {
            if (!presentPeers.contains(name)) {
                LogLine.of(LogEvent.PEER_BACK).with(LogField.SERVER, name).write();
            }
        }
        for (String name : presentPeers) {
            if (!nowPresent.contains(name)) {
                gateway.count("peer_lost");
                LogLine.failure(LogEvent.PEER_LOST).with(LogField.SERVER, name).write();
            }
        }
        boolean changed = !presentPeers.equals(nowPresent);
        presentPeers = nowPresent;
        gateway.peersPresent(nowPresent.size());
        if (changed) {
            gateway.streams().peersChanged();
        }
    }

    /** Returns the age of the oldest report of a present peer in seconds, or NaN if there is none. */
    double oldestReportSeconds() {
        long nowMillis = gateway.nowMillis();
        return table.peers().stream()
                .filter(peer -> PeerTable.present(peer, nowMillis))
                .mapToDouble(peer -> (nowMillis - peer.receivedAtMillis()) / 1000.0)
                .max()
                .orElse(Double.NaN);
    }

    private void requestConfig(PeerReport aheadPeer) {
        if (configRequestInFlight) {
            return;
        }
        configRequestInFlight = true;
        long requestedAtMillis = gateway.nowMillis();
        client.request(aheadPeer, PeerRequestHandler.CONFIG_PATH, body -> {
            configRequestInFlight = false;
            if (body != null) {
                long ageMillis = aheadPeer.configAgeMillis() + gateway.nowMillis() - requestedAtMillis;
                gateway.runGuarded(() -> applyConfig(body, ConfigSource.peer(aheadPeer.name(), ageMillis)));
            }
            if (gateway.configVersion() < aheadPeer.configVersion()) {
                configFetchFailed(aheadPeer);
            }
        });
    }

    private void applyConfig(byte[] document, ConfigSource source) {
        try {
            gateway.apply(decoder.apply(document), document, source);
        } catch (IllegalArgumentException e) {
            LOG.log(Level.ERROR, "ignoring invalid configuration from peer " + source.peer() + ": " + e.getMessage());
        }
    }

    /**
     * Reports a peer whose datagrams arrive but that cannot be queried. Its reports keep this gateway from reading the
     * store, so without this the gateway would keep an old configuration.
     */
    private void configFetchFailed(PeerReport aheadPeer) {
        gateway.count("peer_ask_failed");
        if (loggedConfigVersion != aheadPeer.configVersion()) {
            loggedConfigVersion = aheadPeer.configVersion();
            LogLine.failure(LogEvent.PEER_ASK_FAILED)
                    .with(LogField.SERVER, aheadPeer.name())
                    .with(LogField.CONFIG, aheadPeer.configVersion())
                    .write();
        }
        configFetchFailureListener.run();
    }

    private void requestServers(PeerReport aheadPeer) {
        if (serversRequestInFlight) {
            return;
        }
        serversRequestInFlight = true;
        long requestedAtMillis = gateway.nowMillis();
        client.request(aheadPeer, PeerRequestHandler.SERVERS_PATH, body -> {
            serversRequestInFlight = false;
            if (body != null) {
                try {
                    PeerCodec.ServerSnapshot servers = PeerCodec.decodeServers(body);
                    if (!gateway.directory().hasList() || !isOutdated(servers.position())) {
                        // An earlier history misses what served before this gateway's first list.
                        if (servers.departedComplete()) {
                            gateway.softwareVersionHistory(servers.departed());
                        }
                        gateway.apply(servers.list(), requestedAtMillis - servers.ageMillis(), servers.position());
                    }
                } catch (IOException e) {
                    LOG.log(
                            Level.ERROR,
                            "ignoring invalid server list from peer " + aheadPeer.name() + ": " + e.getMessage());
                }
            }
        });
    }

    private void send(InetSocketAddress address, byte[] datagram) {
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address));
    }

    /** Sends messages about streams to peers. */
    private final class StreamPeers implements StreamTracker.Peers {
        @Override
        public Set<String> present() {
            return table.present(gateway.nowMillis());
        }

        @Override
        public boolean serverListCurrent() {
            long nowMillis = gateway.nowMillis();
            long ageMillis = nowMillis - gateway.directory().newestListMillis();
            // Peers are known from the store, but none is heard: this gateway may be cut off from all of them.
            boolean cutOff = !addresses.isEmpty() && !table.anyPresent(nowMillis);
            return ageMillis <= CURRENT_LIST_MILLIS + 2 * intervalMillis()
                    || (!cutOff && table.allHaveServerList(gateway.directory().digest(), nowMillis));
        }

        @Override
        public void send(String peer, StreamMessage message) {
            send(peer, message.encode());
        }

        @Override
        public void send(String peer, VersionsMessage message) {
            send(peer, message.encode());
        }

        private void send(String peer, byte[] datagram) {
            table.address(peer).ifPresent(address -> {
                try {
                    PeerSynchronizer.this.send(PeerCodec.address(address), datagram);
                } catch (InvalidProtocolBufferException e) {
                    LOG.log(Level.WARNING, "cannot reach peer " + peer + ": " + e.getMessage());
                }
            });
        }
    }

    /** Receives the messages of peers. */
    private final class ReportHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private String loggedFailure = "";

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                if (StreamMessage.isIn(bytes)) {
                    gateway.streams()
                            .receive(StreamMessage.decode(bytes))
                            .ifPresent(response -> send(packet.sender(), response.encode()));
                    return;
                }
                if (VersionsMessage.isIn(bytes)) {
                    gateway.streams()
                            .receive(PeerCodec.text(packet.sender()), VersionsMessage.decode(bytes))
                            .ifPresent(response -> send(packet.sender(), response.encode()));
                    return;
                }
                if (CrashMessage.isIn(bytes)) {
                    gateway.crashQuarantine().receive(CrashMessage.decode(bytes));
                    return;
                }
                receive(PeerCodec.decodeState(bytes));
            } catch (InvalidProtocolBufferException e) {
                gateway.count("peer_report_unreadable");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            gateway.count("peer_report_failed");
            if (!String.valueOf(cause).equals(loggedFailure)) {
                loggedFailure = String.valueOf(cause);
                TaskFailure.log("datagram of a peer", cause);
            }
        }
    }
}
