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
    private final Map<StreamId, List<Search>> searches = new HashMap<>();
    private final Set<String> mixedServices = new HashSet<>();
    private Peers peers = new NoPeers();
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
    }

    /** A search for the origin of a stream, and who waits for its result. */
    private record Search(Route route, Consumer<OriginMatch> onResult) {}

    /** Sets the peers of this gateway. */
    void connect(Peers newPeers) {
        peers = newPeers;
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
        List.copyOf(searches.keySet()).forEach(this::askAll);
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
        Search search = new Search(
                route,
                match -> onResult.accept(
                        match instanceof OriginMatch.Unknown ? onlyVersion(route, serviceSelector) : match));
        Optional<OriginMatch> known = stream.flatMap(id -> recorded(id, OriginMatch.Basis.RECORDED));
        boolean mustAsk = route.isSplit() || onlyVersion(route, serviceSelector) instanceof OriginMatch.Unknown;
        if (known.isPresent()) {
            search.onResult().accept(known.get());
        } else if (stream.isPresent() && mustAsk) {
            start(stream.get(), search);
        } else {
            search.onResult().accept(new OriginMatch.Unknown());
        }
    }

    private Optional<OriginMatch> recorded(StreamId stream, OriginMatch.Basis basis) {
        return origins.find(stream, gateway.nowMillis())
                .map(known -> new OriginMatch.Found(known.origin(), basis, known.ageMillis()));
    }

    /** Returns the only version that can have begun a stream of a route, if there is only one. */
    private OriginMatch onlyVersion(Route route, int serviceSelector) {
        String service = route.service(serviceSelector);
        Set<String> versions = softwareVersions(service);
        boolean complete = gateway.directory().versionHistory().complete(gateway.nowMillis());
        return versions.size() == 1 && complete && peers.serverListCurrent()
                ? new OriginMatch.Found(
                        new StreamOrigin(service, versions.iterator().next()), OriginMatch.Basis.ONLY_VERSION, 0)
                : new OriginMatch.Unknown();
    }

    private void start(StreamId stream, Search search) {
        List<Search> waiting = searches.get(stream);
        if (waiting != null) {
            waiting.add(search);
            return;
        }
        searches.put(stream, new ArrayList<>(List.of(search)));
        witnesses(stream, peers.present()).forEach(witness -> peers.send(witness, StreamMessage.asking(stream)));
        for (long delayMillis : REPEAT_MILLIS) {
            gateway.schedule(() -> askAll(stream), delayMillis);
        }
        gateway.schedule(() -> end(stream, new OriginMatch.Unknown()), GIVE_UP_MILLIS);
    }

    private void askAll(StreamId stream) {
        if (searches.containsKey(stream)) {
            peers.present().forEach(peer -> peers.send(peer, StreamMessage.asking(stream)));
        }
    }

    private void end(StreamId stream, OriginMatch match) {
        List<Search> waiting = searches.remove(stream);
        if (waiting != null) {
            waiting.forEach(search -> search.onResult().accept(match));
        }
    }

    /** Ends the searches that were waiting for the history of software versions, which this gateway now has. */
    void historyReceived() {
        for (StreamId stream : List.copyOf(searches.keySet())) {
            if (searches.get(stream).stream().noneMatch(search -> mayBeMixed(search.route()))) {
                end(stream, new OriginMatch.Unknown());
            }
        }
    }

    private boolean mayBeMixed(Route route) {
        return route.isSplit()
                || route.weightedServices().stream()
                        .anyMatch(service -> softwareVersions(service.service()).size() != 1);
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

    /** Does periodic work: reports open streams that must be known elsewhere, and removes those that nobody resumes. */
    void sweep() {
        checkServerList();
        reportAgain();
        origins.removeExpired(gateway.nowMillis());
        mixedServices.removeIf(service -> !mixed(service));
        gateway.directory().versionHistory().removeExpired(gateway.nowMillis());
    }
}
