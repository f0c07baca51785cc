package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the origins of streams that callers may resume: of those that began at this node, and of those that other
 * nodes reported. Their number is bounded, and they expire.
 */
public final class StreamOrigins {
    /** How long an origin is kept, in milliseconds; streams that are still open are recorded again before. */
    public static final long RETENTION_MILLIS = 60_000;
    /** Age at which the origin of an open stream is recorded again, in milliseconds. */
    public static final long REFRESH_MILLIS = RETENTION_MILLIS / 3;
    /** Time after which a caller hardly resumes a broken stream, in milliseconds. */
    private static final long RESUMPTION_MILLIS = 20_000;
    /** Largest number of streams tracked; the oldest is evicted first. */
    static final int MAX_STREAMS = 32_768;

    private final Map<StreamId, Entry> entries = new LinkedHashMap<>();

    private StreamOrigins() {}

    /** Creates an empty table. */
    public static StreamOrigins create() {
        return new StreamOrigins();
    }

    private record Entry(StreamOrigin origin, long recordedAtMillis, boolean local, boolean reported) {}

    /**
     * A known origin.
     *
     * @param ageMillis time since it was recorded here
     */
    public record Known(StreamOrigin origin, long ageMillis) {}

    /** The origin of a stream. */
    public record Begun(StreamId stream, StreamOrigin origin) {}

    /**
     * The origin of a stream of this node.
     *
     * @param reported whether other nodes were told
     */
    public record Resumable(Begun begun, boolean reported) {}

    /**
     * Records the origin of a stream that begins or goes on at this node, at a time in milliseconds.
     *
     * @param reported whether other nodes are told
     */
    public void recordLocal(StreamId stream, StreamOrigin origin, boolean reported, long nowMillis) {
        put(stream, new Entry(origin, nowMillis, true, reported));
    }

    /** Records the origin of a stream that another node reported; it never replaces one that this node has seen. */
    public void recordReported(StreamId stream, StreamOrigin origin, long nowMillis) {
        Entry known = entries.get(stream);
        if (known == null || !known.local()) {
            put(stream, new Entry(origin, nowMillis, false, false));
        }
    }

    private void put(StreamId stream, Entry entry) {
        entries.remove(stream);
        if (entries.size() >= MAX_STREAMS) {
            Iterator<StreamId> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        entries.put(stream, entry);
    }

    /** Returns the origin of a stream, if it is known. */
    public Optional<Known> find(StreamId stream, long nowMillis) {
        Entry entry = entries.get(stream);
        return entry == null || expired(entry, nowMillis)
                ? Optional.empty()
                : Optional.of(new Known(entry.origin(), nowMillis - entry.recordedAtMillis()));
    }

    /** Returns the streams of this node that a caller may still resume. */
    public List<Resumable> resumable(long nowMillis) {
        List<Resumable> begun = new ArrayList<>();
        entries.forEach((stream, entry) -> {
            if (entry.local() && nowMillis - entry.recordedAtMillis() <= RESUMPTION_MILLIS + REFRESH_MILLIS) {
                begun.add(new Resumable(new Begun(stream, entry.origin()), entry.reported()));
            }
        });
        return begun;
    }

    /** Removes expired origins; entries are ordered by the time at which they were recorded. */
    public void removeExpired(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && expired(oldest.next(), nowMillis)) {
            oldest.remove();
        }
    }

    private static boolean expired(Entry entry, long nowMillis) {
        return nowMillis - entry.recordedAtMillis() > RETENTION_MILLIS;
    }

    /** Returns the number of streams tracked. */
    public int size() {
        return entries.size();
    }
}
