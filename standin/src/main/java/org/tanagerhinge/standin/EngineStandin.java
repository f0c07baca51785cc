package org.tanagerhinge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Simulates a model engine with continuous batching.
 *
 * <p>A step computes one token for each sequence in the batch and takes longer with more sequences. Prompts are
 * prefilled in between, with a tenth of the tokens on a hit in the prefix cache. {@code GET /load} reports with a lag.
 * {@code POST /standin/faults} takes {@code slowdown} (a factor), {@code stalled} and {@code crashMillis} (aborts all
 * answers and rejects requests for that time). {@code GET /standin/runs} returns how often each message was started,
 * {@code GET /standin/tokens} how many tokens were computed.
 */
public final class EngineStandin implements AutoCloseable {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long IDLE_PARK_NANOS = 1_000_000;
    private static final int REPORT_LAG_STEPS = 50;
    private static final int MAX_PREFILL_TOKENS_PER_STEP = 512;

    private final EngineModel model;
    private final StandinServer server;
    private final Thread stepper;
    private final PriorityQueue<QueuedSequence> waiting = new PriorityQueue<>(
            Comparator.comparingInt((QueuedSequence each) -> each.sequence().priority())
                    .thenComparingLong(QueuedSequence::number));
    private final List<AnswerSequence> batch = new ArrayList<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();
    private final LinkedHashMap<String, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private long nextNumber;
    private long cachedPrefixTokens;
    private volatile double slowdown = 1;
    private volatile boolean stalled;
    private volatile long crashedUntilNanos;
    private volatile String fatalMark = "";
    private volatile String fatalEarlierMessage = "";
    private final AtomicInteger crashes = new AtomicInteger();
    private volatile long fatalCrashMillis;
    private volatile boolean closed;
    private volatile String laggedReport = "{}";
    private volatile String softwareVersion = "";
    private final Set<String> continuedAnswers = ConcurrentHashMap.newKeySet();

    private record QueuedSequence(AnswerSequence sequence, long number) {}

    private EngineStandin(int port, EngineModel model) {
        this.model = model;
        this.server = StandinServer.start(port, "engine-standin", this::handle);
        this.stepper = Thread.ofPlatform().name("engine-steps").daemon().start(this::runSteps);
    }

    /** Starts the engine on a loopback port; 0 selects a free one. */
    public static EngineStandin start(int port, EngineModel model) {
        return new EngineStandin(port, model);
    }

    /** Returns the base URL. */
    public String url() {
        return server.url();
    }

    /** Sets the software version that answers state as their system fingerprint from now on. */
    public void softwareVersion(String version) {
        softwareVersion = version;
    }

    /** Returns the marks of the answers that this engine continued from a part that the request held. */
    public Set<String> continuedAnswers() {
        return Set.copyOf(continuedAnswers);
    }

    /** Returns how often each message was started from its first token, by the mark of its answer. */
    public Map<String, Integer> runs() {
        return runs;
    }

    /** Returns how often the engine crashed since a fatal message started. */
    public int crashes() {
        return crashes.get();
    }

    /** Returns the number of tokens computed so far. */
    public long tokens() {
        return tokens.get();
    }

    /** Multiplies the duration of every step by a factor. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** Stops or resumes computing, with all connections open. */
    public void stalled(boolean next) {
        stalled = next;
    }

    /** Makes the engine crash for a time whenever the message with the given mark starts. */
    public void fatal(String mark, long millis) {
        fatalCrashMillis = millis;
        fatalMark = mark;
    }

    /** Makes the engine crash for a time whenever a prompt starts that has a message before the last one. */
    public void fatalEarlierMessage(String content, long millis) {
        fatalCrashMillis = millis;
        fatalEarlierMessage = content;
    }

    /** Aborts all answers and rejects requests for a time. */
    public void crash(long millis) {
        crashedUntilNanos = System.nanoTime() + millis * 1_000_000;
        synchronized (this) {
            batch.forEach(AnswerSequence::crash);
            batch.clear();
            waiting.forEach(each -> each.sequence().crash());
            waiting.clear();
            prefixCache.clear();
            cachedPrefixTokens = 0;
        }
    }

    private void handle(String method, String path, byte[] body, StandinServer.Exchange exchange) throws IOException {
        switch (path) {
            case "/v1/chat/completions" -> enqueue(StandinServer.parseJson(body), exchange);
            case "/health" -> health(exchange);
            case "/load" -> exchange.text(200, "application/json", laggedReport);
            case "/standin/runs" -> exchange.json(200, StandinServer.JSON.valueToTree(runs));
            case "/standin/tokens" ->
                exchange.json(200, StandinServer.JSON.createObjectNode().put("tokens", tokens.get()));
            case "/standin/faults" -> {
                JsonNode node = StandinServer.parseJson(body);
                slowdown(node.path("slowdown").asDouble(slowdown));
                stalled(node.path("stalled").asBoolean(stalled));
                if (node.has("crashMillis")) {
                    crash(node.path("crashMillis").asLong());
                }
                exchange.json(200, StandinServer.JSON.createObjectNode().put("ok", true));
            }
            default -> exchange.text(404, "text/plain", "no such path: " + path);
        }
    }

    private void health(StandinServer.Exchange exchange) {
        if (System.nanoTime() < crashedUntilNanos) {
            exchange.abort();
        } else {
            exchange.text(200, "text/plain", "ok\n");
        }
    }

    private void enqueue(JsonNode request, StandinServer.Exchange exchange) {
        if (System.nanoTime() < crashedUntilNanos) {
            exchange.abort();
            return;
        }
        AnswerSequence sequence = new AnswerSequence(request, exchange, model, softwareVersion);
        if (sequence.kvTokens() > model.kvTokens()) {
            ObjectNode error = StandinServer.JSON.createObjectNode();
            error.putObject("error").put("message", "the prompt exceeds the capacity of the KV memory");
            exchange.json(400, error);
            return;
        }
        synchronized (this) {
            waiting.add(new QueuedSequence(sequence, nextNumber++));
        }
        LockSupport.unpark(stepper);
    }

    private void runSteps() {
        long dueNanos = System.nanoTime();
        long steps = 0;
        while (!closed) {
            double millis;
            synchronized (this) {
                admit();
                millis = stalled || batch.isEmpty() ? 0 : computeStep();
            }
            if (millis == 0) {
                LockSupport.parkNanos(IDLE_PARK_NANOS);
                dueNanos = System.nanoTime();
                continue;
            }
            dueNanos += (long) (millis * slowdown * NANOS_PER_MILLI);
            long remainingNanos = dueNanos - System.nanoTime();
            while (remainingNanos > 0 && !closed) {
                LockSupport.parkNanos(remainingNanos);
                remainingNanos = dueNanos - System.nanoTime();
            }
            if (++steps % REPORT_LAG_STEPS == 0) {
                updateLoadReport();
            }
        }
    }

    private void admit() {
        long usedKvTokens = batch.stream().mapToLong(AnswerSequence::kvTokens).sum();
        while (!waiting.isEmpty() && batch.size() < model.maxSequences()) {
            AnswerSequence first = waiting.peek().sequence();
            if (usedKvTokens + first.kvTokens() > model.kvTokens()) {
                return;
            }
            waiting.poll();
            usedKvTokens += first.kvTokens();
            first.remainingPrefillTokens(lookUpPrefix(first) ? first.promptTokens() / 10 : first.promptTokens());
            first.begin();
            if (first.resumed()) {
                continuedAnswers.add(first.mark());
            } else {
                runs.merge(first.mark(), 1, Integer::sum);
            }
            batch.add(first);
            if (first.mark().equals(fatalMark) || first.hasEarlierMessage(fatalEarlierMessage)) {
                crashes.incrementAndGet();
                crash(fatalCrashMillis);
                return;
            }
        }
    }

    /** Returns whether the prefix cache holds a sequence's first message; adds it on a miss, evicting the oldest. */
    private boolean lookUpPrefix(AnswerSequence sequence) {
        boolean hit = prefixCache.get(sequence.prefix()) != null;
        if (!hit) {
            int size = sequence.prefix().length() / 4;
            prefixCache.put(sequence.prefix(), size);
            cachedPrefixTokens += size;
            Iterator<Integer> oldest = prefixCache.values().iterator();
            while (cachedPrefixTokens > model.prefixTokens() && oldest.hasNext()) {
                cachedPrefixTokens -= oldest.next();
                oldest.remove();
            }
        }
        return hit;
    }

    /** Computes one step and returns its duration in milliseconds without the slowdown factor. */
    private double computeStep() {
        double millis = model.baseMillis();
        long prefillBudget = MAX_PREFILL_TOKENS_PER_STEP;
        Iterator<AnswerSequence> each = batch.iterator();
        while (each.hasNext()) {
            AnswerSequence sequence = each.next();
            if (sequence.clientGone()) {
                each.remove();
            } else if (sequence.remainingPrefillTokens() > 0) {
                long prefilled = Math.min(prefillBudget, sequence.remainingPrefillTokens());
                prefillBudget -= prefilled;
                sequence.remainingPrefillTokens(sequence.remainingPrefillTokens() - prefilled);
                millis += prefilled / model.prefillTokensPerMilli();
            } else if (!sequence.clientBehind()) {
                millis += model.perSequenceMillis();
                tokens.incrementAndGet();
                if (sequence.step()) {
                    each.remove();
                }
            }
        }
        return millis;
    }

    private synchronized void updateLoadReport() {
        laggedReport = StandinServer.JSON
                .createObjectNode()
                .put("running", batch.size())
                .put("waiting", waiting.size())
                .put(
                        "kvTokens",
                        batch.stream().mapToLong(AnswerSequence::kvTokens).sum())
                .toString();
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(stepper);
        server.close();
    }
}
