package org.tanagerhinge.cli.trace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;

/**
 * One request's lines from the logs of all processes.
 *
 * <p>Lines of one process stay in the order in which they were written; between processes the time of day decides, which
 * may jump, so it never changes the order within one.
 */
public final class Trace {
    /** What a process came to believe this long before a request may explain it, in milliseconds. */
    private static final long BELIEFS_BEFORE = 5_000;
    /** What it came to believe this long after a request's end may explain it too: a lost server is noticed late. */
    private static final long BELIEFS_AFTER = 2_000;

    private final String id;
    private final List<LogRecord> ofRequest;
    private final List<LogRecord> withBeliefs;
    private final int linesRead;
    private final long dropped;

    private Trace(String id, List<LogRecord> ofRequest, List<LogRecord> withBeliefs, int linesRead, long dropped) {
        this.id = id;
        this.ofRequest = ofRequest;
        this.withBeliefs = withBeliefs;
        this.linesRead = linesRead;
        this.dropped = dropped;
    }

    /** Returns what logs tell of a request. */
    public static Trace of(String id, List<LogFile> files) {
        Map<String, List<List<LogRecord>>> byNode = new LinkedHashMap<>();
        int lines = 0;
        long dropped = 0;
        for (LogFile file : files) {
            for (LogRecord line : file.records()) {
                lines++;
                addToRun(byNode.computeIfAbsent(line.node(), node -> new ArrayList<>()), line);
                if (line.event().equals(LogEvent.LOG_DROPPED.label())) {
                    dropped += line.number(LogField.COUNT);
                }
            }
        }
        List<List<LogRecord>> own = new ArrayList<>();
        List<List<LogRecord>> all = new ArrayList<>();
        for (List<LogRecord> run :
                byNode.values().stream().flatMap(List::stream).toList()) {
            List<LogRecord> ofRequest = run.stream()
                    .filter(line -> line.text(LogField.ID).equals(id))
                    .toList();
            if (!ofRequest.isEmpty()) {
                own.add(ofRequest);
                all.add(around(run, ofRequest));
            }
        }
        return new Trace(id, merged(own), merged(all), lines, dropped);
    }

    /** The time since a process's start falls back where the next process of the same host begins. */
    private static void addToRun(List<List<LogRecord>> runs, LogRecord line) {
        List<LogRecord> newest = runs.isEmpty() ? List.of() : runs.get(runs.size() - 1);
        if (newest.isEmpty() || line.up() < newest.get(newest.size() - 1).up()) {
            newest = new ArrayList<>();
            runs.add(newest);
        }
        newest.add(line);
    }

    /** Returns a process's lines about a request, and those about the servers that it was sent to at the time. */
    private static List<LogRecord> around(List<LogRecord> run, List<LogRecord> ofRequest) {
        Set<String> servers = new HashSet<>();
        ofRequest.forEach(line -> servers.add(line.text(LogField.SERVER)));
        servers.remove("");
        long from = ofRequest.get(0).up() - BELIEFS_BEFORE;
        long to = ofRequest.get(ofRequest.size() - 1).up() + BELIEFS_AFTER;
        Set<LogRecord> wanted = new HashSet<>(ofRequest);
        return run.stream()
                .filter(line ->
                        wanted.contains(line) || (line.up() >= from && line.up() <= to && explains(line, servers)))
                .toList();
    }

    private static boolean explains(LogRecord line, Set<String> servers) {
        if (line.has(LogField.ID)) {
            return false;
        }
        String event = line.event();
        if (event.startsWith("server_")) {
            return servers.contains(line.text(LogField.SERVER));
        }
        return event.startsWith("store_")
                || event.startsWith("peer_")
                || event.equals(LogEvent.CONFIGURATION.label())
                || event.equals(LogEvent.STOPPING.label())
                || event.equals(LogEvent.LOG_DROPPED.label());
    }

    private static List<LogRecord> merged(List<List<LogRecord>> processes) {
        Map<Integer, Deque<LogRecord>> left = new HashMap<>();
        for (int i = 0; i < processes.size(); i++) {
            left.put(i, new ArrayDeque<>(processes.get(i)));
        }
        List<LogRecord> lines = new ArrayList<>();
        while (true) {
            Deque<LogRecord> next = null;
            for (Deque<LogRecord> queue : left.values()) {
                if (!queue.isEmpty()
                        && (next == null
                                || queue.peekFirst().at() < next.peekFirst().at())) {
                    next = queue;
                }
            }
            if (next == null) {
                return lines;
            }
            lines.add(next.pollFirst());
        }
    }

    public boolean isEmpty() {
        return ofRequest.isEmpty();
    }

    /** Returns the request's own lines, in order. */
    public List<LogRecord> ofRequest() {
        return ofRequest;
    }

    /** Returns the request's lines, and what the same processes came to believe of its servers around that time. */
    public List<LogRecord> withBeliefs() {
        return withBeliefs;
    }

    public int linesRead() {
        return linesRead;
    }

    /** Returns a remark on lines that the processes had to drop, empty if none. */
    public String dropped() {
        return dropped == 0 ? "" : "; " + dropped + " lines were dropped by the processes";
    }

    /** Says in a sentence how the request ended. */
    public String sentence() {
        return Sentence.of(id, ofRequest) + dropped();
    }
}
