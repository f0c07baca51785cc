package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.net.SocketAddresses;
import org.tanagerhinge.core.relay.LaneDemand;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankedLoad;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.SoftwareVersions;
import org.tanagerhinge.core.relay.WorkspaceUses;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.wire.peer.DepartedVersion;
import org.tanagerhinge.wire.peer.KeptParts;
import org.tanagerhinge.wire.peer.Part;
import org.tanagerhinge.wire.peer.PeerState;
import org.tanagerhinge.wire.peer.RankUse;
import org.tanagerhinge.wire.peer.ServerEnd;
import org.tanagerhinge.wire.peer.ServerEntry;
import org.tanagerhinge.wire.peer.ServerList;
import org.tanagerhinge.wire.peer.ServerUse;
import org.tanagerhinge.wire.peer.ServiceDemand;
import org.tanagerhinge.wire.peer.SuspectedRequest;

/** Encodes and decodes the messages between peer gateways. */
final class PeerCodec {
    /** Longest plausible interval between two reports; many times what the largest fleet uses. */
    private static final int MAX_INTERVAL_MILLIS = 60_000;

    private static final long END_OF_TIME_MILLIS =
            Instant.parse("2200-01-01T00:00:00Z").toEpochMilli();

    private PeerCodec() {}

    /** Holds the parts of a prompt that a node sent to a server instance, which caches them. */
    record CachedPrefix(String instanceId, List<PromptPart> parts) {}

    /**
     * Holds a peer's report with the changes since its last one.
     *
     * @param cachedPrefixes prompt parts that were sent to servers since the last report
     * @param suspicions requests suspected of crashing servers
     * @param leavingInstances ids of server instances that have announced that they leave
     * @param dutyStatus the node's announcement for duties
     * @param workspaceUses some of the node's figures of workspaces, while a service is short of capacity
     */
    record PeerMessage(
            PeerReport report,
            List<CachedPrefix> cachedPrefixes,
            List<RequestQuarantine.Suspicion> suspicions,
            List<String> leavingInstances,
            DutyAnnouncement dutyStatus,
            List<WorkspaceUses> workspaceUses) {
        /** Returns this message with further suspicions. */
        PeerMessage withSuspicions(List<RequestQuarantine.Suspicion> added) {
            List<RequestQuarantine.Suspicion> all = new ArrayList<>(suspicions);
            all.addAll(added);
            return new PeerMessage(report, cachedPrefixes, all, leavingInstances, dutyStatus, workspaceUses);
        }

        /** Returns this message with other cached prefixes. */
        PeerMessage withCachedPrefixes(List<CachedPrefix> replacement) {
            return new PeerMessage(report, replacement, suspicions, leavingInstances, dutyStatus, workspaceUses);
        }
    }

    /**
     * Holds a server list.
     *
     * @param ageMillis time since the list was requested
     * @param position point in the store's history at which the list was read
     * @param departed software versions of which servers have left lately
     * @param departedComplete whether no such version is missing
     */
    record ServerSnapshot(
            List<ServerRegistration> list,
            long ageMillis,
            StorePosition position,
            List<SoftwareVersions.Departed> departed,
            boolean departedComplete) {}

    static byte[] encodeState(PeerMessage message) {
        PeerReport report = message.report();
        PeerState.Builder state = PeerState.newBuilder()
                .setName(report.name())
                .setIncarnation(report.incarnation())
                .setSequence(report.sequence())
                .setAddress(report.address())
                .setStoreAnswers(report.storeReachable())
                .setStoreEra(report.storeEra())
                .setConfigVersion(report.configVersion())
                .setConfigAgeMillis((int) Math.min(Integer.MAX_VALUE, report.configAgeMillis()))
                .setServersAgeMillis((int) Math.min(Integer.MAX_VALUE, report.serverListAgeMillis()))
                .setServersDigest(report.serverListDigest())
                .setServersEra(report.serverListPosition().era())
                .setServersRevision(report.serverListPosition().revision())
                .setIntervalMillis((int) report.reportIntervalMillis());
        report.prefillTokensPerMilli().ifPresent(rate -> state.setPrefillTokensPerMilli((float) rate));
        report.connectionsPerSecond().ifPresent(rate -> state.setConnectionsPerSecond(1 + (int) Math.round(rate)));
        report.loads().forEach((server, load) -> state.addUses(encodeUse(server, load, report.workTimes())));
        report.demands()
                .forEach((service, demand) -> state.addDemands(ServiceDemand.newBuilder()
                        .setService(service)
                        .setShortRunning(demand.shortInFlight())
                        .setShortTokens(demand.shortTokensPerSecond())
                        .setLongTokens(demand.longTokensPerSecond())));
        for (CachedPrefix cachedPrefix : message.cachedPrefixes()) {
            KeptParts.Builder parts = KeptParts.newBuilder().setServer(cachedPrefix.instanceId());
            cachedPrefix
                    .parts()
                    .forEach(part ->
                            parts.addParts(Part.newBuilder().setId(part.id()).setTokens(part.tokens())));
            state.addKept(parts);
        }
        message.suspicions().forEach(suspicion -> state.addSuspected(encodeSuspicion(suspicion)));
        state.addAllLeaving(message.leavingInstances());
        state.setTimeOfDayMillis(message.dutyStatus().wallClockMillis())
                .setPower(message.dutyStatus().preference())
                .setUsageToken(message.dutyStatus().fencingToken())
                .setUsageCommittedThrough(message.dutyStatus().committedThrough());
        message.workspaceUses().forEach(uses -> state.addWorkspaceUses(WorkspaceUsesCodec.encode(uses)));
        return state.build().toByteArray();
    }

    private static ServerUse encodeUse(
            String server, RankedLoad load, Map<String, PeerReport.StatedWorkTime> workTimes) {
        ServerUse.Builder use = ServerUse.newBuilder()
                .setServer(server)
                .setRunning(load.inFlight())
                .setPromptTokens(Math.max(0, load.pendingPrefillTokens()));
        for (int rank = 1; rank <= lastRank(load); rank++) {
            use.addLessUrgent(RankUse.newBuilder()
                    .setRunning(load.inFlight(rank))
                    .setPromptTokens(Math.max(0, load.pendingPrefillTokens(rank))));
        }
        PeerReport.StatedWorkTime workTime = workTimes.get(server);
        if (workTime != null) {
            use.setWorkTimePercent((int) Math.round(100 * workTime.factor()))
                    .setWorkTimeAgeMillis((int) workTime.ageMillis());
        }
        return use.build();
    }

    private static int lastRank(RankedLoad load) {
        int last = RankedLoad.RANKS - 1;
        while (last > 0 && load.inFlight(last) == 0) {
            last--;
        }
        return last;
    }

    private static RankedLoad decodeLoad(ServerUse use) {
        RankedLoad load = RankedLoad.of(use.getRunning(), use.getPromptTokens());
        for (int i = 0; i < use.getLessUrgentCount(); i++) {
            RankUse rank = use.getLessUrgent(i);
            load.add(0, -rank.getRunning(), -rank.getPromptTokens());
            load.add(i + 1, rank.getRunning(), rank.getPromptTokens());
        }
        return load;
    }

    static PeerMessage decodeState(byte[] bytes) throws InvalidProtocolBufferException {
        PeerState state = PeerState.parseFrom(bytes);
        requirePlausible(state);
        Map<String, RankedLoad> uses = new HashMap<>();
        Map<String, PeerReport.StatedWorkTime> workTimes = new HashMap<>();
        for (ServerUse use : state.getUsesList()) {
            uses.put(use.getServer(), decodeLoad(use));
            if (use.getWorkTimePercent() > 0) {
                workTimes.put(
                        use.getServer(),
                        new PeerReport.StatedWorkTime(use.getWorkTimePercent() / 100.0, use.getWorkTimeAgeMillis()));
            }
        }
        Map<String, LaneDemand> demands = new HashMap<>();
        for (ServiceDemand demand : state.getDemandsList()) {
            demands.put(
                    demand.getService(),
                    new LaneDemand(demand.getShortRunning(), demand.getShortTokens(), demand.getLongTokens()));
        }
        List<CachedPrefix> cachedPrefixes = new ArrayList<>();
        for (KeptParts parts : state.getKeptList()) {
            cachedPrefixes.add(new CachedPrefix(
                    parts.getServer(),
                    parts.getPartsList().stream()
                            .map(part -> new PromptPart(part.getId(), part.getTokens()))
                            .toList()));
        }
        PeerReport report = new PeerReport(
                state.getName(),
                state.getIncarnation(),
                state.getSequence(),
                state.getAddress(),
                state.getStoreAnswers(),
                state.getStoreEra(),
                state.getConfigVersion(),
                state.getConfigAgeMillis(),
                state.getServersAgeMillis(),
                state.getServersDigest(),
                StorePosition.of(state.getServersEra(), state.getServersRevision()),
                state.getIntervalMillis(),
                uses,
                demands,
                state.getConnectionsPerSecond() == 0
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(state.getConnectionsPerSecond() - 1),
                workTimes,
                state.getPrefillTokensPerMilli() > 0
                        ? OptionalDouble.of(state.getPrefillTokensPerMilli())
                        : OptionalDouble.empty());
        List<RequestQuarantine.Suspicion> suspicions = state.getSuspectedList().stream()
                .map(PeerCodec::decodeSuspicion)
                .toList();
        DutyAnnouncement duty = new DutyAnnouncement(
                state.getTimeOfDayMillis(),
                state.getPower(),
                state.getUsageToken(),
                state.getStoreEra(),
                state.getUsageCommittedThrough());
        return new PeerMessage(
                report,
                cachedPrefixes,
                suspicions,
                List.copyOf(state.getLeavingList()),
                duty,
                state.getWorkspaceUsesList().stream()
                        .map(WorkspaceUsesCodec::decode)
                        .toList());
    }

    /**
     * Rejects a state that no gateway reports. A list of servers from the future, for instance, would count as newer than
     * what the store answers.
     */
    private static void requirePlausible(PeerState state) throws InvalidProtocolBufferException {
        require(!state.getName().isEmpty(), "name");
        require(state.getServersAgeMillis() >= 0, "age of the server list");
        require(state.getConfigAgeMillis() >= 0, "age of the configuration");
        require(state.getIntervalMillis() > 0 && state.getIntervalMillis() <= MAX_INTERVAL_MILLIS, "report interval");
        require(state.getTimeOfDayMillis() >= 0 && state.getTimeOfDayMillis() < END_OF_TIME_MILLIS, "time of day");
        require(state.getPower() >= 0, "duty preference");
        require(state.getUsageToken() >= 0 && state.getUsageCommittedThrough() >= 0, "usage duty");
        require(state.getConnectionsPerSecond() >= 0, "connection rate");
        require(Float.isFinite(state.getPrefillTokensPerMilli()), "prefill rate");
        for (ServerUse use : state.getUsesList()) {
            require(use.getLessUrgentCount() < RankedLoad.RANKS, "number of ranks");
        }
        for (ServiceDemand demand : state.getDemandsList()) {
            require(Double.isFinite(demand.getShortRunning()), "demand");
            require(Double.isFinite(demand.getShortTokens()), "demand");
            require(Double.isFinite(demand.getLongTokens()), "demand");
        }
    }

    private static void require(boolean plausible, String what) throws InvalidProtocolBufferException {
        if (!plausible) {
            throw new InvalidProtocolBufferException("implausible " + what + " in the state of a peer");
        }
    }

    private static SuspectedRequest encodeSuspicion(RequestQuarantine.Suspicion suspicion) {
        SuspectedRequest.Builder suspected = SuspectedRequest.newBuilder()
                .setWorkspace(suspicion.request().workspaceHash())
                .setContent(suspicion.request().contentHash())
                .setHeldMillis((int) suspicion.remainingMillis());
        suspicion.clearedAgeMillis().ifPresent(age -> suspected.setClearedMillis((int) (age + 1)));
        suspicion
                .crashes()
                .forEach(crash -> suspected.addEnds(
                        ServerEnd.newBuilder().setServer(crash.instanceHash()).setAgeMillis((int) crash.ageMillis())));
        return suspected.build();
    }

    private static RequestQuarantine.Suspicion decodeSuspicion(SuspectedRequest suspected) {
        return new RequestQuarantine.Suspicion(
                new RequestFingerprint(suspected.getWorkspace(), suspected.getContent()),
                suspected.getEndsList().stream()
                        .map(crash -> new RequestQuarantine.CrashReport(crash.getServer(), crash.getAgeMillis()))
                        .toList(),
                suspected.getClearedMillis() == 0 ? Optional.empty() : Optional.of(suspected.getClearedMillis() - 1L),
                suspected.getHeldMillis());
    }

    static byte[] encodeServers(ServerSnapshot servers) {
        ServerList.Builder list = ServerList.newBuilder()
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, servers.ageMillis()))
                .setEra(servers.position().era())
                .setRevision(servers.position().revision())
                .setDepartedComplete(servers.departedComplete());
        for (SoftwareVersions.Departed version : servers.departed()) {
            list.addDeparted(DepartedVersion.newBuilder()
                    .setService(version.service())
                    .setSoftwareVersion(version.softwareVersion())
                    .setAgeMillis((int) version.ageMillis()));
        }
        for (ServerRegistration server : servers.list()) {
            list.addServers(ServerEntry.newBuilder()
                    .setId(server.id())
                    .setBorn(server.startedAtMillis())
                    .setSoftwareVersion(server.softwareVersion())
                    .setService(server.service())
                    .setAddress(text(server.address()))
                    .setDomain(server.domain())
                    .setSlots(server.slots())
                    .setDraining(server.draining()));
        }
        return list.build().toByteArray();
    }

    static ServerSnapshot decodeServers(byte[] bytes) throws InvalidProtocolBufferException {
        ServerList list = ServerList.parseFrom(bytes);
        require(list.getAgeMillis() >= 0, "age of the server list");
        List<ServerRegistration> servers = new ArrayList<>();
        for (ServerEntry entry : list.getServersList()) {
            servers.add(new ServerRegistration(
                    entry.getId(),
                    entry.getBorn(),
                    entry.getSoftwareVersion(),
                    entry.getService(),
                    address(entry.getAddress()),
                    entry.getDomain(),
                    entry.getSlots(),
                    entry.getDraining()));
        }
        List<SoftwareVersions.Departed> departed = list.getDepartedList().stream()
                .map(version -> new SoftwareVersions.Departed(
                        version.getService(), version.getSoftwareVersion(), version.getAgeMillis()))
                .toList();
        return new ServerSnapshot(
                servers,
                list.getAgeMillis(),
                StorePosition.of(list.getEra(), list.getRevision()),
                departed,
                list.getDepartedComplete());
    }

    /** Formats an address as IP:PORT. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Parses an address of the form IP:PORT. */
    static InetSocketAddress address(String text) throws InvalidProtocolBufferException {
        return SocketAddresses.parse(text)
                .orElseThrow(() -> new InvalidProtocolBufferException("'" + text + "' is not IP:PORT"));
    }
}
