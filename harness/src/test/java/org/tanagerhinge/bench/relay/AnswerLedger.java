package org.tanagerhinge.bench.relay;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Records what became of requests to gateways that get signals, and judges which may end without a whole answer. */
final class AnswerLedger {
    /** Requests that are sent later than this after SIGTERM have to be answered whatever time is left. */
    private static final long LATEST_EXEMPT_SEND_MILLIS = 3_000;
    /** From this time after SIGTERM on, an answer may be cut whose server is still at work. */
    private static final long CUT_ALLOWED_MILLIS = GatewayLife.GRACE_MILLIS * 5 / 6;
    /** A connection may end without an answer until this long after the request's last byte was sent. */
    private static final long CROSSING_MILLIS = 200;

    private final Map<String, List<ServerRun>> runs = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger atWorkAtEnd = new AtomicInteger();
    private final AtomicInteger timedOut = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();

    /**
     * A request that was sent.
     *
     * @param taken life of the gateway that accepted its connection
     * @param timeoutMillis timeout of its route
     */
    record Sent(String id, String text, GatewayLife taken, long begunMillis, long sentMillis, long timeoutMillis) {
        /** Returns the request line. */
        String line() {
            return text.lines().findFirst().orElse("");
        }
    }

    /** The run of a request at a server. */
    static final class ServerRun {
        private volatile long finishedMillis = Long.MAX_VALUE;
        private volatile boolean rejected;

        /** Records that the server has rejected the request. */
        void reject() {
            rejected = true;
        }

        /** Records that the server has written the whole answer. */
        void finish() {
            finishedMillis = nowMillis();
        }
    }

    /** Returns the steady time in milliseconds. */
    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Records that a server has received a request. */
    ServerRun begin(String id) {
        ServerRun run = new ServerRun();
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(run);
        return run;
    }

    /** Records something that must not happen. */
    void violation(String what) {
        violations.add(what);
    }

    Queue<String> violations() {
        return violations;
    }

    /** Returns the number of whole answers. */
    int whole() {
        return whole.get();
    }

    /** Returns the counts and the number of violations. */
    String summary() {
        return whole + " whole, " + atWorkAtEnd + " at work at the end of the grace time, " + timedOut + " timed out, "
                + crossed + " crossed a close, " + violations.size() + " violations";
    }

    /** Records how a request ended now; it is a violation if its answer was not read though it had to come. */
    void judge(Sent sent, boolean read, String how) {
        long endMillis = nowMillis();
        if (read) {
            whole.incrementAndGet();
            return;
        }
        List<ServerRun> sentRuns = runs.getOrDefault(sent.id(), List.of());
        long termMillis = sent.taken().termMillis();
        long sinceTerm = endMillis - termMillis;
        if (sentRuns.isEmpty() && endMillis - sent.sentMillis() <= CROSSING_MILLIS) {
            crossed.incrementAndGet();
            return;
        }
        List<ServerRun> accepted =
                sentRuns.stream().filter(run -> !run.rejected).toList();
        long finishedMillis =
                accepted.stream().mapToLong(run -> run.finishedMillis).min().orElse(Long.MAX_VALUE);
        boolean atWork = !accepted.isEmpty()
                && finishedMillis >= termMillis + CUT_ALLOWED_MILLIS
                && sinceTerm >= CUT_ALLOWED_MILLIS
                && sent.sentMillis() - termMillis <= LATEST_EXEMPT_SEND_MILLIS;
        if (endMillis - sent.begunMillis() >= sent.timeoutMillis()) {
            timedOut.incrementAndGet();
            return;
        }
        if (atWork) {
            atWorkAtEnd.incrementAndGet();
            return;
        }
        violations.add(sent.line() + ": " + how
                + (sentRuns.isEmpty() ? ", not passed on" : ", passed on " + sentRuns.size() + " times")
                + (finishedMillis <= endMillis
                        ? ", server finished " + (endMillis - finishedMillis) + " ms before"
                        : "")
                + ", sent " + (sent.sentMillis() - termMillis) + " ms, ended " + sinceTerm + " ms after SIGTERM, "
                + (endMillis - sent.taken().startedMillis()) + " ms after the start");
    }
}
