package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.tanagerhinge.core.duty.UsageCounts;
import org.tanagerhinge.core.duty.UsageReport;
import org.tanagerhinge.core.duty.UsageTally;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.wire.peer.UsageSource;
import org.tanagerhinge.wire.peer.UsageTaken;
import org.tanagerhinge.wire.peer.UsageTold;
import org.tanagerhinge.wire.peer.UsageWindow;
import org.tanagerhinge.wire.peer.WorkspaceCount;

/** Encodes and decodes usage counts, as sent between nodes and kept in the store. */
public final class UsageCodec {
    private UsageCodec() {}

    /** Encodes usage reports. */
    public static byte[] encodeReports(List<UsageReport> reports) {
        return encodeTally(new UsageTally(reports, 0, StoreEra.UNKNOWN));
    }

    /** Encodes what a holder saves. */
    public static byte[] encodeTally(UsageTally tally) {
        UsageTold.Builder message = UsageTold.newBuilder()
                .setCommittedThrough(tally.committedThrough())
                .setStoreEra(tally.era());
        for (UsageReport report : tally.reports()) {
            UsageSource.Builder source = UsageSource.newBuilder()
                    .setNode(report.node())
                    .setIncarnation(report.incarnation())
                    .setSinceMillis(report.sinceMillis())
                    .setAsOfMillis(report.asOfMillis())
                    .setLast(report.last());
            report.windows().forEach((window, counts) -> source.addWindows(encodeWindow(window, counts)));
            message.addSources(source);
        }
        return message.build().toByteArray();
    }

    /** Decodes usage reports. */
    public static List<UsageReport> decodeReports(byte[] message) throws InvalidProtocolBufferException {
        return decodeTally(message).reports();
    }

    /** Decodes what a holder has saved. */
    public static UsageTally decodeTally(byte[] message) throws InvalidProtocolBufferException {
        UsageTold tally = UsageTold.parseFrom(message);
        return new UsageTally(
                tally.getSourcesList().stream().map(UsageCodec::decodeReport).toList(),
                tally.getCommittedThrough(),
                tally.getStoreEra());
    }

    private static UsageReport decodeReport(UsageSource source) {
        SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
        source.getWindowsList().forEach(window -> windows.put(window.getWindow(), decodeWindow(window)));
        return new UsageReport(
                source.getNode(),
                source.getIncarnation(),
                source.getSinceMillis(),
                source.getAsOfMillis(),
                source.getLast(),
                windows);
    }

    private static UsageWindow.Builder encodeWindow(long number, Map<String, Long> counts) {
        UsageWindow.Builder window = UsageWindow.newBuilder().setWindow(number);
        counts.forEach((workspace, count) -> window.addCounts(
                WorkspaceCount.newBuilder().setWorkspace(workspace).setCount(count)));
        return window;
    }

    private static SortedMap<String, Long> decodeWindow(UsageWindow window) {
        SortedMap<String, Long> counts = new TreeMap<>();
        window.getCountsList().forEach(count -> counts.put(count.getWorkspace(), count.getCount()));
        return counts;
    }

    /** Encodes the counts of one window. */
    public static byte[] encodeCounts(UsageCounts counts) {
        return encodeWindow(counts.window(), counts.byWorkspace()).build().toByteArray();
    }

    /** Decodes the counts of one window. */
    public static UsageCounts decodeCounts(byte[] message) throws InvalidProtocolBufferException {
        UsageWindow window = UsageWindow.parseFrom(message);
        return new UsageCounts(window.getWindow(), decodeWindow(window));
    }

    static byte[] encodeAcknowledgement(long committedThrough) {
        return UsageTaken.newBuilder().setFixedThrough(committedThrough).build().toByteArray();
    }

    static long decodeCommittedThrough(byte[] message) throws InvalidProtocolBufferException {
        return UsageTaken.parseFrom(message).getFixedThrough();
    }
}
