package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Holds the figures of workspaces that peers reported.
 *
 * <p>Each figure expires by itself, since a report carries only as many as its budget allows.
 */
final class PeerUses {
    /** Time for which a figure is valid. */
    static final long VALID_MILLIS = 5_000;
    /** Largest number of figures kept of one peer; a peer within its budget has 75 valid ones. */
    static final int MAX_FIGURES_PER_PEER = 512;
    /** Largest rate that is accepted, the largest that a report can carry. */
    private static final double MAX_WORK = 1 << 28;
    /** Workspace that stands for all workspaces of a peer that are far below their share. */
    private static final long SMALL = Long.MIN_VALUE;
    /** Key of the rate of requests of all workspaces of a peer. */
    private static final long REQUESTS = Long.MAX_VALUE;

    private final Map<String, Map<Key, Figure>> figuresByPeer = new HashMap<>();

    private PeerUses() {}

    static PeerUses create() {
        return new PeerUses();
    }

    private record Key(String service, int rank, long workspace) {}

    private record Figure(WorkRate work, long receivedAtMillis) {
        private boolean valid(long nowMillis) {
            return nowMillis - receivedAtMillis <= VALID_MILLIS;
        }
    }

    /**
     * Holds what peers reported for a service and rank.
     *
     * @param requests requests of all workspaces
     * @param small work of the workspaces that peers don't report one by one
     * @param oldestMillis age of the oldest figure; negative if there is none
     */
    record Totals(WorkRate requests, WorkRate small, long oldestMillis) {}

    /** Records the figures of a peer's report. */
    void accept(String peer, List<WorkspaceUses> report, long nowMillis) {
        if (report.isEmpty()) {
            return;
        }
        Map<Key, Figure> figures = figuresByPeer.computeIfAbsent(peer, name -> new HashMap<>());
        figures.values().removeIf(figure -> !figure.valid(nowMillis));
        for (WorkspaceUses uses : report) {
            put(figures, new Key(uses.service(), uses.rank(), REQUESTS), new Figure(uses.requests(), nowMillis));
            put(figures, new Key(uses.service(), uses.rank(), SMALL), new Figure(uses.small(), nowMillis));
            uses.near()
                    .forEach((workspace, work) ->
                            put(figures, new Key(uses.service(), uses.rank(), workspace), new Figure(work, nowMillis)));
        }
    }

    private static void put(Map<Key, Figure> figures, Key key, Figure figure) {
        if (figures.size() < MAX_FIGURES_PER_PEER || figures.containsKey(key)) {
            figures.put(key, new Figure(figure.work().bounded(MAX_WORK), figure.receivedAtMillis()));
        }
    }

    /** Forgets figures that are no longer valid. */
    void forgetExpired(long nowMillis) {
        figuresByPeer.values().forEach(figures -> figures.values().removeIf(figure -> !figure.valid(nowMillis)));
        figuresByPeer.values().removeIf(Map::isEmpty);
    }

    /** Passes the valid figure of each workspace of each peer to a consumer, and returns the totals. */
    Totals collect(String service, int rank, long nowMillis, ObjIntConsumer<WorkRate> consumer) {
        Collection collection = new Collection(rank, nowMillis, consumer);
        for (Map<Key, Figure> figures : figuresByPeer.values()) {
            figures.forEach((key, figure) -> {
                if (key.service().equals(service) && figure.valid(nowMillis)) {
                    collection.add(key, figure);
                }
            });
        }
        return new Totals(collection.requests, collection.small, collection.oldestMillis);
    }

    private static final class Collection {
        private final int rank;
        private final long nowMillis;
        private final ObjIntConsumer<WorkRate> consumer;
        private WorkRate requests = WorkRate.NONE;
        private WorkRate small = WorkRate.NONE;
        private long oldestMillis = -1;

        private Collection(int rank, long nowMillis, ObjIntConsumer<WorkRate> consumer) {
            this.rank = rank;
            this.nowMillis = nowMillis;
            this.consumer = consumer;
        }

        private void add(Key key, Figure figure) {
            if (key.rank() == rank) {
                oldestMillis = Math.max(oldestMillis, nowMillis - figure.receivedAtMillis());
                addOfRank(key.workspace(), figure.work());
            }
        }

        private void addOfRank(long workspace, WorkRate work) {
            if (workspace == REQUESTS) {
                requests = requests.plus(work);
            } else if (workspace == SMALL) {
                small = small.plus(work);
            } else {
                consumer.accept(work, (int) workspace);
            }
        }
    }

    /** Returns the number of figures that are kept. */
    int size() {
        return figuresByPeer.values().stream().mapToInt(Map::size).sum();
    }
}
