package org.tanagerhinge.node.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;

/** Holds the counters, gauges and histograms of one node in its own registry. */
public final class NodeMetrics implements InvariantMonitor {
    private static final Logger LOG = System.getLogger(NodeMetrics.class.getName());
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1, 1.5, 2.5, 5, 10, 20, 40, 80, 160
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter decisions = Counter.builder()
            .name("tanagerhinge_decisions_total")
            .help("Rejections, retries and other decisions by reason")
            .labelNames("reason")
            .register(registry);
    private final Counter results = Counter.builder()
            .name("tanagerhinge_requests_total")
            .help("Ended requests by profile and result code")
            .labelNames("profile", "code")
            .register(registry);
    private final Counter outcomes = Counter.builder()
            .name("tanagerhinge_request_outcomes_total")
            .help("Requests by profile: asked, begun (first output), served (whole answer), or the cause of their loss")
            .labelNames("profile", "outcome")
            .register(registry);
    private final Counter invariantChecks = Counter.builder()
            .name("tanagerhinge_invariant_checks_total")
            .help("Checks of invariants; investigate any violation")
            .labelNames("promise", "result")
            .register(registry);
    private final Histogram firstOutput = histogram("tanagerhinge_first_output_seconds", "Arrival to first output");
    private final Histogram betweenTokens =
            histogram("tanagerhinge_between_tokens_seconds", "Mean time between tokens of an answer");
    private final Histogram longestEventGap =
            histogram("tanagerhinge_longest_pause_seconds", "Longest gap between two events of a stream");
    private final Histogram completeAnswer =
            histogram("tanagerhinge_whole_answer_seconds", "Arrival to complete answer");

    private final Histogram storeCalls = Histogram.builder()
            .name("tanagerhinge_store_call_seconds")
            .help("Calls to the platform's store, by call and result")
            .labelNames("call", "result")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);

    private NodeMetrics() {}

    /** Returns the metrics of a node, all zero. */
    public static NodeMetrics create() {
        return new NodeMetrics();
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("profile")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    /** Counts a decision by reason. */
    public void count(String reason) {
        decisions.labelValues(reason).inc();
    }

    /** Counts an ended request by profile and result code. */
    public void countResult(String profile, int code) {
        results.labelValues(profile, Integer.toString(code)).inc();
    }

    /** Counts a request by profile and outcome. */
    public void countOutcome(String profile, String outcome) {
        outcomes.labelValues(profile, outcome).inc();
    }

    /** Observes the times of a complete answer; zero times are skipped. */
    public void observeAnswer(String profile, Duration timeToFirstOutput, Duration meanTokenGap, Duration totalTime) {
        observe(firstOutput, profile, timeToFirstOutput);
        observe(betweenTokens, profile, meanTokenGap);
        observe(completeAnswer, profile, totalTime);
    }

    /** Observes the longest event gap of an ended stream; zero is skipped. */
    public void longestEventGap(String profile, Duration gap) {
        observe(longestEventGap, profile, gap);
    }

    /** Observes the duration of a call to the platform's store. */
    public void observeStoreCall(String call, String result, Duration time) {
        storeCalls.labelValues(call, result).observe(time.toNanos() / 1e9);
    }

    private static void observe(Histogram histogram, String profile, Duration time) {
        if (!time.isZero()) {
            histogram.labelValues(profile).observe(time.toNanos() / 1e9);
        }
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name("tanagerhinge_" + name)
                .help(help)
                .callback(callback -> callback.call(valueOrNaN(value)))
                .register(registry);
    }

    /**
     * Registers a gauge with one value for each value of a label; the values are read at each scrape.
     *
     * @param values values by value of the label
     */
    public void registerGauge(String name, String help, String label, Supplier<Map<String, Double>> values) {
        GaugeWithCallback.builder()
                .name("tanagerhinge_" + name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((labelValue, value) -> callback.call(value, labelValue)))
                .register(registry);
    }

    /** Returns NaN if the control thread has ended or does not answer, so that the other metrics are still served. */
    private static double valueOrNaN(DoubleSupplier value) {
        try {
            return value.getAsDouble();
        } catch (IllegalStateException e) {
            return Double.NaN;
        }
    }

    @Override
    public void recordHeld(Invariant invariant) {
        invariantChecks.labelValues(invariant.label(), "held").inc();
    }

    @Override
    public void recordViolation(Invariant invariant, String detail) {
        invariantChecks.labelValues(invariant.label(), "violated").inc();
        LOG.log(Level.ERROR, "invariant " + invariant.label() + " violated: " + detail);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
            return out.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
