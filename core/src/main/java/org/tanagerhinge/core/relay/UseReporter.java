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

    /**
     * Time in which a round reports its workspaces. Figures are valid for 5 s, so that one lost report doesn't let
     * those of the largest workspaces expire.
     */
    private static final double ROUND_SECONDS = 2.5;

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
     * Returns the next figures, the largest workspaces first; empty until the credit suffices for several workspaces,
     * which share the header of their group. A round reports the workspaces that fit into its time and the others
     * together.
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
            fill(groups, peerCount, nowMillis);
        }
        if (availableBytes < Math.min(batchBytes(peerCount), bytes(pending))) {
            return List.of();
        }
        int bytes = 0;
        while (!pending.isEmpty()) {
            Item item = pending.peek();
            int itemBytes = WORKSPACE_BYTES + (report.containsKey(item.group) ? 0 : headerBytes(item.group));
            if (bytes > 0 && (itemBytes > availableBytes || bytes + itemBytes > MAX_BYTES_PER_REPORT)) {
                break;
            }
            bytes += itemBytes;
            availableBytes -= itemBytes;
            add(report, pending.poll(), shortAge);
        }
        return List.copyOf(report.values());
    }

    private static double bytesPerSecond(int peerCount) {
        return (double) MAX_BYTES_PER_SECOND / Math.max(1, peerCount);
    }

    /** Returns the credit that is saved for a report, unless less is left to report. */
    private static double batchBytes(int peerCount) {
        return Math.min(MAX_BYTES_PER_REPORT, bytesPerSecond(peerCount));
    }

    private static int headerBytes(ShareGroup group) {
        return GROUP_BYTES + group.service().length();
    }

    /** Returns the bytes of items in one report. */
    private static int bytes(Collection<Item> items) {
        return items.size() * WORKSPACE_BYTES
                + items.stream()
                        .map(Item::group)
                        .distinct()
                        .mapToInt(UseReporter::headerBytes)
                        .sum();
    }

    /** Credits the bytes of the time since the last report; at most those of a second are saved up before. */
    private void credit(int peerCount, long nowMillis) {
        double bytesPerSecond = bytesPerSecond(peerCount);
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

    private void fill(Collection<ShareGroup> groups, int peerCount, long nowMillis) {
        double groupBytes = ROUND_SECONDS * bytesPerSecond(peerCount) / groups.size();
        for (ShareGroup group : groups) {
            double headerPart = headerBytes(group) / batchBytes(peerCount);
            int workspaces = Math.max(1, (int) (groupBytes * (1 - headerPart) / WORKSPACE_BYTES));
            addItems(group, largest(group.near(peerCount + 1, nowMillis), workspaces), nowMillis);
        }
    }

    private static List<Map.Entry<Integer, WorkRate>> largest(Map<Integer, WorkRate> near, int count) {
        return near.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(
                        Comparator.comparingDouble(WorkRate::asked).reversed()))
                .limit(count)
                .toList();
    }

    private void addItems(ShareGroup group, List<Map.Entry<Integer, WorkRate>> reported, long nowMillis) {
        Map<Integer, WorkRate> others = group.meter().rates(nowMillis);
        reported.forEach(entry -> others.remove(entry.getKey()));
        WorkRate small = others.values().stream().reduce(WorkRate.NONE, WorkRate::plus);
        WorkRate requests = group.meter().requests(nowMillis);
        if (reported.isEmpty()) {
            pending.add(new Item(group, requests, small, Map.of()));
        }
        reported.forEach(entry -> pending.add(new Item(group, requests, small, Map.ofEntries(entry))));
    }
}
