package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.invariant.Promise;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Remembers the non-idempotent requests that this agent was given, so that none begins twice here and a result whose
 * way back was cut can be fetched again.
 *
 * <p>Without it, a router that lost its connection could neither send the request again (it may have run) nor tell the
 * caller what became of it. Results are kept within bounds of count, bytes and time; the oldest go first, and a request
 * whose result was dropped is answered "outcome unknown", never run again.
 */
final class ExecutionTable {

    /** What is known of an execution. */
    sealed interface Status {
        /** Nothing: it never came here. */
        record Unseen() implements Status {}

        /** It is queued or running. */
        record Active(Run run) implements Status {}

        /** It ended with a whole answer, which is still held. */
        record Completed(List<Frame.FromAgent> answer) implements Status {}

        /** It began and its answer is not held. */
        record ResultUnavailable(ResultCode code, String detail) implements Status {}

        /** It did not begin, and this and earlier generations never will. */
        record Closed() implements Status {}
    }

    private static final class Entry {
        private final Instant recordedAt;
        private long generation;
        private Status status;
        private long outputBytes;
        private final List<Frame.FromAgent> output = new ArrayList<>();

        Entry(Instant recordedAt, long generation, Status status) {
            this.recordedAt = recordedAt;
            this.generation = generation;
            this.status = status;
        }
    }

    private final Map<KeyDigest, Entry> entries = new LinkedHashMap<>();
    private final int maxEntries;
    private final long maxOutputBytes;
    private final Duration ttl;
    private final InvariantMonitor monitor;
    private long outputBytes;

    ExecutionTable(AgentOptions options, InvariantMonitor monitor) {
        this.maxEntries = options.maxRecords();
        this.maxOutputBytes = options.maxRecordBytes();
        this.ttl = options.recordTtl();
        this.monitor = monitor;
    }

    int size() {
        return entries.size();
    }

    /** Returns what is known of an execution; a generation closed earlier counts as closed. */
    Status lookup(Execution execution) {
        Entry entry = entries.get(execution.digest());
        if (entry == null) {
            return new Status.Unseen();
        }
        if (entry.status instanceof Status.Closed && execution.generation() > entry.generation) {
            return new Status.Unseen();
        }
        return entry.status;
    }

    /** Takes in a run that is now queued. */
    void recordQueued(Run run, Instant now) {
        Execution execution = run.execution().orElseThrow();
        entries.remove(execution.digest());
        entries.put(execution.digest(), new Entry(now, execution.generation(), new Status.Active(run)));
    }

    /** Notes that a run begins at the backend server. */
    void recordStart(Run run) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        boolean permitted = entry != null && entry.status instanceof Status.Active(Run active) && active == run;
        monitor.check(Promise.AT_MOST_ONCE, permitted, () -> run + " begins although " + describe(entry));
    }

    private static String describe(Entry entry) {
        return entry == null ? "nothing is recorded" : "the record says " + entry.status;
    }

    /** Closes a generation: it did not begin and never will. */
    void close(Execution execution, Instant now) {
        Entry entry = entries.get(execution.digest());
        boolean began = entry != null
                && switch (entry.status) {
                    case Status.Completed completed -> true;
                    case Status.ResultUnavailable unavailable -> true;
                    case Status.Active active -> active.run().stateMachine().in(RunState.RUNNING);
                    case Status.Unseen unseen -> false;
                    case Status.Closed closed -> false;
                };
        monitor.check(Promise.NOT_RUN_IS_TRUE, !began, () -> execution + " is closed but " + describe(entry));
        long generation = Math.max(execution.generation(), entry == null ? 0 : entry.generation);
        dropOutput(entry);
        entries.remove(execution.digest());
        entries.put(execution.digest(), new Entry(now, generation, new Status.Closed()));
    }

    /** Holds a piece of output of a running execution. */
    void recordOutput(Run run, Frame.FromAgent frame) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        if (entry == null) {
            return;
        }
        entry.output.add(frame);
        long size = frame instanceof Frame.Chunk chunk ? chunk.data().length : 0;
        entry.outputBytes += size;
        outputBytes += size;
    }

    /** Returns the output of a live run so far. */
    List<Frame.FromAgent> outputSoFar(Run run) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        return entry == null ? List.of() : List.copyOf(entry.output);
    }

    /** Notes that a run ended with a whole answer. */
    void recordCompletion(Run run, Frame.FromAgent done) {
        recordOutput(run, done);
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        if (entry != null) {
            entry.status = new Status.Completed(List.copyOf(entry.output));
        }
    }

    /** Notes that a run began and has no whole answer. */
    void recordFailure(Run run, ResultCode code, String detail) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        if (entry != null) {
            dropOutput(entry);
            entry.status = new Status.ResultUnavailable(code, detail);
        }
    }

    /** Drops what is over the bounds, oldest first, but never what is still live. */
    void evict(Instant now) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            if (entry.status instanceof Status.Active) {
                continue;
            }
            if (entry.recordedAt.plus(ttl).isBefore(now) || entries.size() > maxEntries) {
                dropOutput(entry);
                oldestFirst.remove();
            } else if (outputBytes > maxOutputBytes) {
                dropOutput(entry);
                if (entry.status instanceof Status.Completed) {
                    entry.status =
                            new Status.ResultUnavailable(ResultCode.OUTCOME_UNKNOWN, "the result is no longer held");
                }
            } else {
                return;
            }
        }
    }

    /** Returns whether a record may have been dropped for want of room rather than for its age. */
    boolean isFull() {
        return entries.size() >= maxEntries;
    }

    private void dropOutput(Entry entry) {
        if (entry != null) {
            outputBytes -= entry.outputBytes;
            entry.outputBytes = 0;
            entry.output.clear();
        }
    }

    Optional<Run> activeRun(KeyDigest digest) {
        Entry entry = entries.get(digest);
        return entry != null && entry.status instanceof Status.Active(Run run) ? Optional.of(run) : Optional.empty();
    }
}
