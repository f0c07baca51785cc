package org.tanagerhinge.core.relay;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;

/** Selects the figures of workspaces for a node's reports, within a limit on the bytes sent to all peers together. */
final class UseReporter {
    /** Limit on the bytes per second to all peers together. */
    static final int MAX_BYTES_PER_SECOND = 4_000;
    /** Largest number of bytes of figures in one report, which must fit into a datagram with everything else. */
    private static final int MAX_BYTES_PER_REPORT = 400;
    /** Bytes of a group in the encoding, without the name of the service: tags, lengths and figures. */
    private static final int GROUP_BYTES = 32;
    /** Bytes of a workspace in the encoding: tags, length, a hash and two figures below 2^28. */
    private static final int WORKSPACE_BYTES = 17;

    /** Credit of a node that has just started. */
    private static final long INITIAL_CREDIT_MILLIS = 1_000;

    private final Deque<Item> pending = new ArrayDeque<>();
    private double availableBytes;
    private long creditedAtMillis;

    private UseReporter(long nowMillis) {
        creditedAtMillis = nowMillis - INITIAL_CREDIT_MILLIS;
    }

    static UseReporter create(long nowMillis) {
        return new UseReporter(nowMillis);
    }

    private record Item(ShareGroup group, WorkRate requests, WorkRate small, Map<Integer, WorkRate> near) {}

    /**
     * Returns the next figures, the largest workspaces first; all groups and workspaces get their turn.
     *
     * @param shortAge time since the service of a group was seen to be short, if it was lately
     */
    List<WorkspaceUses> next(
            Collection<ShareGroup> groups, int peerCount, long nowMillis, Function<ShareGroup, OptionalLong> shortAge) {
        credit(peerCount, nowMillis);
        if (groups.isEmpty() || peerCount == 0) {
            pending.clear();
            return List.of();
        }
        Map<ShareGroup, WorkspaceUses> report = new LinkedHashMap<>();
        if (pending.isEmpty()) {
            fill(groups, peerCount + 1, nowMillis);
        }
        int bytes = 0;
        while (!pending.isEmpty() && availableBytes > 0 && bytes < MAX_BYTES_PER_REPORT) {
            Item item = pending.poll();
            int itemBytes = WORKSPACE_BYTES
                    + (report.containsKey(item.group)
                            ? 0
                            : GROUP_BYTES + item.group.service().length());
            bytes += itemBytes;
            availableBytes -= itemBytes;
            add(report, item, shortAge);
        }
        return List.copyOf(report.values());
    }

    /** Credits the bytes of the time since the last report; at most those of a second are saved up before. */
    private void credit(int peerCount, long nowMillis) {
        double bytesPerSecond = (double) MAX_BYTES_PER_SECOND / Math.max(1, peerCount);
        long elapsedMillis = Math.min(PeerUses.VALID_MILLIS, nowMillis - creditedAtMillis);
        availableBytes = Math.min(bytesPerSecond, availableBytes) + bytesPerSecond * elapsedMillis / 1_000;
        creditedAtMillis = nowMillis;
    }

    private static void add(Map<ShareGroup, WorkspaceUses> report, Item item, Function<ShareGroup, OptionalLong> age) {
        ShareGroup group = item.group;
        WorkspaceUses uses = report.computeIfAbsent(
                group,
                added -> new WorkspaceUses(
                        group.service(), group.rank(), item.requests, item.small, age.apply(group), new HashMap<>()));
        uses.near().putAll(item.near);
    }

    private void fill(Collection<ShareGroup> groups, int nodeCount, long nowMillis) {
        for (ShareGroup group : groups) {
            Map<Integer, WorkRate> near = group.near(nodeCount, nowMillis);
            WorkRate small = WorkRate.NONE;
            for (Map.Entry<Integer, WorkRate> entry :
                    group.meter().rates(nowMillis).entrySet()) {
                small = near.containsKey(entry.getKey()) ? small : small.plus(entry.getValue());
            }
            addItems(group, near, group.meter().requests(nowMillis), small);
        }
    }

    private void addItems(ShareGroup group, Map<Integer, WorkRate> near, WorkRate requests, WorkRate small) {
        if (near.isEmpty()) {
            pending.add(new Item(group, requests, small, Map.of()));
            return;
        }
        near.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(
                        Comparator.comparingDouble(WorkRate::asked).reversed()))
                .forEach(entry -> pending.add(new Item(group, requests, small, Map.ofEntries(entry))));
    }
}
