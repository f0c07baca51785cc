package org.tanagerhinge.standin.load;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts outcomes and records latencies of the requests of one class. Thread-safe. */
public final class Tally {
    private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<ClientOutcome, Integer> endings = new EnumMap<>(ClientOutcome.class);
    private final Map<Integer, Integer> codes = new TreeMap<>();
    private final Histogram first = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram between = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram whole = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private int sent;
    private int inTime;
    private int repeats;
    private int doubled;
    private int falselyNotRun;
    private long tokens;
    private long tokensInTime;

    synchronized void sent() {
        sent++;
    }

    synchronized void repeated() {
        repeats++;
    }

    synchronized void refused(int code) {
        codes.merge(code, 1, Integer::sum);
    }

    synchronized void ended(ClientOutcome ending) {
        endings.merge(ending, 1, Integer::sum);
    }

    synchronized void times(Duration untilFirst, Duration untilWhole, long answerTokens, boolean met) {
        first.recordValue(Math.min(MAX_MICROS, untilFirst.toNanos() / 1000));
        whole.recordValue(Math.min(MAX_MICROS, untilWhole.toNanos() / 1000));
        if (answerTokens > 1) {
            between.recordValue(untilWhole.minus(untilFirst).toNanos() / 1000 / (answerTokens - 1));
        }
        tokens += answerTokens;
        if (met) {
            inTime++;
            tokensInTime += answerTokens;
        }
    }

    synchronized void doubled(int more) {
        doubled += more;
    }

    synchronized void falselyNotRun(int more) {
        falselyNotRun += more;
    }

    /** Returns the number of requests sent, without retries. */
    public synchronized int sentCount() {
        return sent;
    }

    /** Returns the number of requests with the given outcome. */
    public synchronized int count(ClientOutcome ending) {
        return endings.getOrDefault(ending, 0);
    }

    /** Returns the number of requests with a complete answer within the targets. */
    public synchronized int inTime() {
        return inTime;
    }

    /** Returns the fraction of requests with a complete answer within the targets; 1 if none was sent. */
    public synchronized double attainment() {
        return sent == 0 ? 1 : (double) inTime / sent;
    }

    public synchronized int repeats() {
        return repeats;
    }

    /** Returns the number of non-idempotent requests that ran more than once. */
    public synchronized int doubledCount() {
        return doubled;
    }

    /** Returns the number of requests that ran although they were reported as not run. */
    public synchronized int falselyNotRunCount() {
        return falselyNotRun;
    }

    /** Returns the number of tokens of complete answers. */
    public synchronized long tokens() {
        return tokens;
    }

    /** Returns the number of tokens of complete answers within the targets. */
    public synchronized long tokensInTime() {
        return tokensInTime;
    }

    /** Returns how often each result code was reported. */
    public synchronized Map<Integer, Integer> codes() {
        return new TreeMap<>(codes);
    }

    /** Returns a percentile of the time to the first token. */
    public synchronized Duration first(double percentile) {
        return Duration.ofNanos(first.getValueAtPercentile(percentile) * 1000);
    }

    /** Returns a percentile of the mean inter-token gap of an answer. */
    public synchronized Duration between(double percentile) {
        return Duration.ofNanos(between.getValueAtPercentile(percentile) * 1000);
    }

    /** Returns a percentile of the time to the complete answer. */
    public synchronized Duration whole(double percentile) {
        return Duration.ofNanos(whole.getValueAtPercentile(percentile) * 1000);
    }

    /** Returns whether no request was lost, mixed up, duplicated or falsely reported as not run. */
    public synchronized boolean clean() {
        return count(ClientOutcome.LOST) == 0 && count(ClientOutcome.MIXED) == 0 && doubled == 0 && falselyNotRun == 0;
    }
}
