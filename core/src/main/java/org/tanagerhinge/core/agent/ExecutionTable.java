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
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Records the non-idempotent requests given to this agent, so that each runs at most once and a lost result can be
 * fetched again.
 *
 * <p>Without it, a router that lost its connection could neither resend the request, which may have run, nor report
 * its outcome to the caller. Records are limited by count, bytes and age and evicted oldest first. A request whose
 * result was evicted is answered with {@link ResultCode#OUTCOME_UNKNOWN} and not run again.
 */
final class ExecutionTable {

    /** Describes the recorded state of an execution. */
    sealed interface Status {
        /** The execution is not recorded: it never arrived here. */
        record Unseen() implements Status {}

        /** The execution is queued or running. */
        record Active(Run run) implements Status {}

        /** The execution completed, and its answer is kept. */
        record Completed(List<Frame.FromAgent> answer) implements Status {}

        /** The execution started, and its answer is not available. */
        record ResultUnavailable(ResultCode code, String detail) implements Status {}

        /** The execution did not start, and neither it nor an earlier generation ever will. */
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

    /** Returns the status of an execution; generations before a closed one count as closed. */
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

    /** Records a run that was queued. */
    void recordQueued(Run run, Instant now) {
        Execution execution = run.execution().orElseThrow();
        entries.remove(execution.digest());
        entries.put(execution.digest(), new Entry(now, execution.generation(), new Status.Active(run)));
    }

    /** Records that a run starts at the backend server; checks that it is the recorded one. */
    void recordStart(Run run) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        boolean permitted = entry != null && entry.status instanceof Status.Active(Run active) && active == run;
        monitor.check(Invariant.AT_MOST_ONCE, permitted, () -> run + " starts although " + describe(entry));
    }

    private static String describe(Entry entry) {
        return entry == null ? "its execution is not recorded" : "its recorded status is " + entry.status;
    }

    /** Closes a generation, which has not started, so that it never will. */
    void close(Execution execution, Instant now) {
        Entry entry = entries.get(execution.digest());
        boolean started = entry != null
                && switch (entry.status) {
                    case Status.Completed completed -> true;
                    case Status.ResultUnavailable unavailable -> true;
                    case Status.Active active -> active.run().stateMachine().isIn(RunState.RUNNING);
                    case Status.Unseen unseen -> false;
                    case Status.Closed closed -> false;
                };
        monitor.check(Invariant.NOT_RUN_IS_TRUE, !started, () -> execution + " is closed although " + describe(entry));
        long generation = Math.max(execution.generation(), entry == null ? 0 : entry.generation);
        dropOutput(entry);
        entries.remove(execution.digest());
        entries.put(execution.digest(), new Entry(now, generation, new Status.Closed()));
    }

    /** Records a piece of output of a running execution. */
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

    /** Returns the recorded output of an active run. */
    List<Frame.FromAgent> outputSoFar(Run run) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        return entry == null ? List.of() : List.copyOf(entry.output);
    }

    /** Records that a run ended with a complete answer. */
    void recordCompletion(Run run, Frame.FromAgent done) {
        recordOutput(run, done);
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        if (entry != null) {
            entry.status = new Status.Completed(List.copyOf(entry.output));
        }
    }

    /** Records that a run started and ended without a complete answer. */
    void recordFailure(Run run, ResultCode code, String detail) {
        Entry entry = entries.get(run.execution().orElseThrow().digest());
        if (entry != null) {
            dropOutput(entry);
            entry.status = new Status.ResultUnavailable(code, detail);
        }
    }

    /** Evicts records over the limits, oldest first; active runs are kept. */
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
                            new Status.ResultUnavailable(ResultCode.OUTCOME_UNKNOWN, "the stored result was evicted");
                }
            } else {
                return;
            }
        }
    }

    /** Returns whether a record may have been evicted for the record limit rather than for its age. */
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
