package org.tanagerhinge.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tanagerhinge.core.hash.RendezvousHash;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.core.relay.StreamOrigin;
import org.tanagerhinge.core.relay.StreamOrigins;

/**
 * Finds out what began a stream that a caller resumes at this gateway.
 *
 * <p>Where several software versions serve, each gateway reports the origin of a stream to a few peers, its witnesses,
 * before the stream's first event is forwarded to the caller. Witnesses are chosen by a hash of the stream's id, so
 * that the gateway at which the caller resumes knows whom to ask when the first gateway has ended. Nothing is reported
 * where a single version serves, as far as a current list of servers shows; streams that are open when a second one
 * appears or the list gets outdated are reported then.
 *
 * <p>A stream that nobody knows is one of the only version if that version is shown to be the only one by what was learned
 * after its caller resumed it: from the platform's store, or from all other gateways. Earlier knowledge proves nothing,
 * however recent it seems: this gateway may be cut off or may have been suspended while another version joined.
 */
final class StreamTracker {
    /** Number of peers to which an origin is reported; all of them may end together with the first gateway. */
    static final int WITNESSES = 3;
    /** Times at which peers are asked, in milliseconds after the first time, when only the witnesses are asked. */
    private static final long[] REPEAT_MILLIS = {50, 150, 350};
    /** Time after which a search is given up, in milliseconds. */
    private static final long GIVE_UP_MILLIS = 600;
    /** Minimum time between two reports of all open streams. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 1_000;

    private final Gateway gateway;
    private final StreamOrigins origins = StreamOrigins.create();
    private final Map<StreamId, Search> searches = new HashMap<>();
    private final Set<String> mixedServices = new HashSet<>();
    private Peers peers = new NoPeers();
    private ServerListReader serverListReader = onRead -> {};
    private long lastUnnamedStream;
    private boolean serverListWasCurrent = true;
    private boolean witnessesChanged;
    private long nextReportMillis = Long.MIN_VALUE;

    private StreamTracker(Gateway gateway) {
        this.gateway = gateway;
    }

    static StreamTracker of(Gateway gateway) {
        return new StreamTracker(gateway);
    }

    /** Sends messages to the peers of this gateway. */
    interface Peers {
        /** Returns the names of the peers that reported recently. */
        Set<String> present();

        /**
         * Returns whether no other gateway can have a newer server list: this one's is recent, or all peers have the
         * same.
         */
        boolean serverListCurrent();

        /** Sends a message to a peer; it may get lost. */
        void send(String peer, StreamMessage message);

        /** Sends a message to a peer; it may get lost. */
        void send(String peer, VersionsMessage message);
    }

    private record NoPeers() implements Peers {
        @Override
        public Set<String> present() {
            return Set.of();
        }

        @Override
        public boolean serverListCurrent() {
            return true;
        }

        @Override
        public void send(String peer, StreamMessage message) {}

        @Override
        public void send(String peer, VersionsMessage message) {}
    }

    /** Reads the server list from the platform's store. */
    interface ServerListReader {
        /** Runs {@code onRead} once a list that is requested from now on is applied; never, if that fails. */
        void read(Runnable onRead);
    }

    /** Who waits for the origin of a stream. */
    private record Waiting(Route route, int serviceSelector, Consumer<OriginMatch> onResult) {
        /** Returns the service at which the stream began unless a configuration has changed its route. */
        private String service() {
            return route.service(serviceSelector);
        }
    }

    /** A search for the origin of a stream. */
    private static final class Search {
        private final List<Waiting> waiting = new ArrayList<>();
        /** What peers answered that were asked for the versions of a service, by service and address of the peer. */
        private final Map<String, Map<String, Set<String>>> versionsByPeer = new HashMap<>();
        /** Whether the server list was read from the store after the search began. */
        private boolean serverListRead;
    }

    /** Sets the peers of this gateway. */
    void connect(Peers newPeers) {
        peers = newPeers;
    }

    /** Sets what reads the server list from the platform's store. */
    void connect(ServerListReader newReader) {
        serverListReader = newReader;
    }

    // ---- streams that begin here

    /** Records what began a stream, and reports it to the stream's witnesses if they may be asked for it. */
    void begun(StreamId stream, StreamOrigin origin, Route route) {
        boolean reported = mixed(origin.service()) || route.isSplit() || !peers.serverListCurrent();
        origins.recordLocal(stream, origin, reported, gateway.nowMillis());
        if (reported) {
            report(List.of(new StreamOrigins.Begun(stream, origin)));
        }
    }

    /** Returns whether several software versions of a service serve or have done so lately. */
    boolean mixed(String service) {
        return softwareVersions(service).size() > 1;
    }

    private Set<String> softwareVersions(String service) {
        return gateway.directory().softwareVersions(service, gateway.nowMillis());
    }

    private void report(List<StreamOrigins.Begun> begun) {
        Set<String> present = peers.present();
        Map<String, List<StreamOrigins.Begun>> byWitness = new HashMap<>();
        for (StreamOrigins.Begun stream : begun) {
            for (String witness : witnesses(stream.stream(), present)) {
                byWitness.computeIfAbsent(witness, name -> new ArrayList<>()).add(stream);
            }
        }
        byWitness.forEach((witness, streams) -> {
            for (int from = 0; from < streams.size(); from += StreamMessage.MAX_STREAMS) {
                int to = Math.min(streams.size(), from + StreamMessage.MAX_STREAMS);
                peers.send(witness, StreamMessage.telling(List.copyOf(streams.subList(from, to))));
            }
        });
    }

    private static List<String> witnesses(StreamId stream, Set<String> present) {
        return RendezvousHash.top(stream.toString(), present, WITNESSES);
    }

    /** Handles that other peers are present: they are asked at once, and become witnesses of open streams soon. */
    void peersChanged() {
        Map.copyOf(searches).forEach(this::askAll);
        witnessesChanged = true;
    }

    /** Reports the open streams to their new witnesses; not at each change, since the presence of peers may flap. */
    private void reportAgain() {
        long nowMillis = gateway.nowMillis();
        if (!witnessesChanged || nowMillis < nextReportMillis) {
            return;
        }
        witnessesChanged = false;
        nextReportMillis = nowMillis + MIN_REPORT_INTERVAL_MILLIS;
        report(origins.resumable(nowMillis).stream()
                .filter(stream ->
                        stream.reported() || mixed(stream.begun().origin().service()))
                .map(StreamOrigins.Resumable::begun)
                .toList());
    }

    /** Reports the open streams of a service at which a second software version has appeared. */
    void serversChanged(Set<String> services) {
        Set<String> newlyMixed = new HashSet<>();
        for (String service : services) {
            if (!mixed(service)) {
                mixedServices.remove(service);
            } else if (mixedServices.add(service)) {
                newlyMixed.add(service);
            }
        }
        if (!newlyMixed.isEmpty()) {
            report(origins.resumable(gateway.nowMillis()).stream()
                    .map(StreamOrigins.Resumable::begun)
                    .filter(stream -> newlyMixed.contains(stream.origin().service()))
                    .toList());
        }
    }

    /** Reports the open streams when this gateway's server list gets outdated: another version may have appeared. */
    private void checkServerList() {
        boolean current = peers.serverListCurrent();
        if (serverListWasCurrent && !current) {
            report(origins.resumable(gateway.nowMillis()).stream()
                    .filter(stream -> !stream.reported())
                    .map(StreamOrigins.Resumable::begun)
                    .toList());
        }
        serverListWasCurrent = current;
    }

    // ---- streams that callers resume

    /**
     * Searches for the origin of a stream.
     *
     * @param stream the stream that the caller resumes; empty if it doesn't name it
     * @param onResult receives the result, at once or later on the event loop
     */
    void find(Optional<StreamId> stream, Route route, int serviceSelector, Consumer<OriginMatch> onResult) {
        Optional<OriginMatch> known = stream.flatMap(id -> recorded(id, OriginMatch.Basis.RECORDED));
        if (known.isPresent()) {
            onResult.accept(known.get());
        } else {
            start(stream.orElseGet(this::unnamedStream), new Waiting(route, serviceSelector, onResult));
        }
    }

    /** Returns an id that no gateway knows. */
    private StreamId unnamedStream() {
        return new StreamId(0, --lastUnnamedStream);
    }

    private Optional<OriginMatch> recorded(StreamId stream, OriginMatch.Basis basis) {
        return origins.find(stream, gateway.nowMillis())
                .map(known -> new OriginMatch.Found(known.origin(), basis, known.ageMillis()));
    }

    /** Returns the only version that can have begun a stream, if what was learned in its search shows that. */
    private OriginMatch onlyVersion(Search search, Waiting waiting) {
        String service = waiting.service();
        Set<String> versions = softwareVersions(service);
        boolean complete = gateway.directory().versionHistory().complete(gateway.nowMillis());
        return versions.size() == 1 && complete && (search.serverListRead || allPeersAgree(search, service, versions))
                ? new OriginMatch.Found(
                        new StreamOrigin(service, versions.iterator().next()), OriginMatch.Basis.ONLY_VERSION, 0)
                : new OriginMatch.Unknown();
    }

    /** Returns whether all other gateways have answered in a search that they know the same versions of a service. */
    private boolean allPeersAgree(Search search, String service, Set<String> versions) {
        Map<String, Set<String>> answers = search.versionsByPeer.getOrDefault(service, Map.of());
        return gateway.fleetSize().areAllOthers(answers.keySet())
                && answers.values().stream().allMatch(versions::equals);
    }

    private void start(StreamId stream, Waiting waiting) {
        Search running = searches.get(stream);
        if (running != null) {
            running.waiting.add(waiting);
            return;
        }
        Search search = new Search();
        search.waiting.add(waiting);
        searches.put(stream, search);
        witnesses(stream, peers.present()).forEach(witness -> peers.send(witness, StreamMessage.asking(stream)));
        for (long delayMillis : REPEAT_MILLIS) {
            gateway.schedule(() -> askAll(stream, search), delayMillis);
        }
        gateway.schedule(() -> giveUp(stream, search), GIVE_UP_MILLIS);
        if (!mixed(waiting.service())) {
            serverListReader.read(() -> {
                search.serverListRead = true;
                endIfOnlyVersion(stream, search);
            });
        }
    }

    private void askAll(StreamId stream, Search search) {
        if (searches.get(stream) != search) {
            return;
        }
        Set<String> present = peers.present();
        present.forEach(peer -> peers.send(peer, StreamMessage.asking(stream)));
        search.waiting.stream()
                .map(Waiting::service)
                .distinct()
                .filter(service -> !search.serverListRead && !mixed(service))
                .forEach(service ->
                        present.forEach(peer -> peers.send(peer, VersionsMessage.question(stream, service))));
    }

    private void end(StreamId stream, OriginMatch match) {
        Search search = searches.remove(stream);
        if (search != null) {
            search.waiting.forEach(waiting -> waiting.onResult().accept(match));
        }
    }

    /** Ends a search without an answer: the stream is of the only version, or unknown. */
    private void giveUp(StreamId stream, Search search) {
        if (searches.remove(stream, search)) {
            search.waiting.forEach(waiting -> waiting.onResult().accept(onlyVersion(search, waiting)));
        }
    }

    /** Ends a search if a single version can have begun the stream; on a split route, peers may know its service. */
    private void endIfOnlyVersion(StreamId stream, Search search) {
        if (search.waiting.stream()
                .allMatch(waiting ->
                        !waiting.route().isSplit() && onlyVersion(search, waiting) instanceof OriginMatch.Found)) {
            giveUp(stream, search);
        }
    }

    /** Ends the searches that were waiting for the history of software versions, which this gateway now has. */
    void historyReceived() {
        Map.copyOf(searches).forEach(this::endIfOnlyVersion);
    }

    // ---- messages of peers

    /** Handles a peer's message; returns the response if the peer asks for streams that are known here. */
    Optional<StreamMessage> receive(StreamMessage message) {
        long nowMillis = gateway.nowMillis();
        for (StreamOrigins.Begun stream : message.begun()) {
            origins.recordReported(stream.stream(), stream.origin(), nowMillis);
            if (searches.containsKey(stream.stream())) {
                recorded(stream.stream(), OriginMatch.Basis.ASKED).ifPresent(match -> end(stream.stream(), match));
            }
        }
        List<StreamOrigins.Begun> known = new ArrayList<>();
        for (StreamId asked : message.asked()) {
            origins.find(asked, nowMillis)
                    .ifPresent(found -> known.add(new StreamOrigins.Begun(asked, found.origin())));
        }
        return known.isEmpty() ? Optional.empty() : Optional.of(StreamMessage.telling(known));
    }

    /** Handles a peer's message; returns the answer if the peer asks and this gateway knows all versions. */
    Optional<VersionsMessage> receive(String peerAddress, VersionsMessage message) {
        return switch (message.kind()) {
            case QUESTION ->
                gateway.directory().versionHistory().complete(gateway.nowMillis())
                        ? Optional.of(message.answer(softwareVersions(message.service())))
                        : Optional.empty();
            case ANSWER -> {
                Search search = searches.get(message.stream());
                if (search != null) {
                    search.versionsByPeer
                            .computeIfAbsent(message.service(), service -> new HashMap<>())
                            .put(peerAddress, message.versions());
                    endIfOnlyVersion(message.stream(), search);
                }
                yield Optional.empty();
            }
        };
    }

    /** Does periodic work: reports open streams that must be known elsewhere, and removes those that nobody resumes. */
    void sweep() {
        checkServerList();
        reportAgain();
        origins.removeExpired(gateway.nowMillis());
        mixedServices.removeIf(service -> !mixed(service));
        gateway.directory().versionHistory().removeExpired(gateway.nowMillis());
    }
}
