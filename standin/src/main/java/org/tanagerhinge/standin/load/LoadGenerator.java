package org.tanagerhinge.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.standin.Answers;

/**
 * Sends the requests of several classes at their scheduled times (open loop) and checks each answer.
 *
 * <p>Latencies are measured from the scheduled time, so a delayed sender shows as latency.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final int MAX_RETRIES = 20;
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);
    private static final double SLICE_SECONDS = 0.01;

    private final HttpClient client;
    private final List<String> routers;
    private final List<LoadClass> classes;
    private final Random random;
    private final Map<String, Tally> tallies = new LinkedHashMap<>();
    private final ConcurrentLinkedQueue<EndedRequest> ended = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService retryScheduler = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("load-repeats").daemon().factory());
    private final Phaser inFlight = new Phaser(1);
    private long nextNumber;

    /** An ended request with its outcome. */
    record EndedRequest(LoadClass loadClass, String call, ClientOutcome ending) {}

    /** A request with its scheduled time. */
    record PlannedRequest(
            LoadClass loadClass,
            Caller caller,
            String message,
            String path,
            String key,
            long dueNanos,
            int firstRouter) {}

    private LoadGenerator(HttpClient client, List<String> routers, List<LoadClass> classes, long seed) {
        this.client = client;
        this.routers = routers;
        this.classes = classes;
        this.random = new Random(seed);
        classes.forEach(each -> tallies.put(each.profile(), new Tally()));
    }

    /**
     * Returns a load generator that has not been started.
     *
     * @param client a started client
     * @param routers base URLs
     */
    public static LoadGenerator of(HttpClient client, List<String> routers, List<LoadClass> classes, long seed) {
        return new LoadGenerator(client, routers, classes, seed);
    }

    /** Returns the outcomes of the requests, by profile. */
    public Map<String, Tally> tallies() {
        return tallies;
    }

    /** Sends requests for the given duration, then waits until every request has ended. */
    public void run(Duration length) {
        List<PlannedRequest> plan = plan(length);
        long start = System.nanoTime();
        for (PlannedRequest planned : plan) {
            long due = start + planned.dueNanos();
            long left = due - System.nanoTime();
            while (left > 0) {
                LockSupport.parkNanos(left);
                left = due - System.nanoTime();
            }
            tallies.get(planned.loadClass().profile()).sent();
            inFlight.register();
            send(planned, due, 0);
        }
        inFlight.arriveAndAwaitAdvance();
    }

    /** Generates all requests in advance, so that they depend on the seed only. */
    private List<PlannedRequest> plan(Duration length) {
        List<PlannedRequest> plan = new ArrayList<>();
        long slices = (long) (length.toNanos() / 1e9 / SLICE_SECONDS);
        for (long slice = 0; slice < slices; slice++) {
            Duration at = Duration.ofNanos((long) (slice * SLICE_SECONDS * 1e9));
            for (LoadClass each : classes) {
                int arrivals = poisson(each.rateAt(at) * SLICE_SECONDS);
                for (int i = 0; i < arrivals; i++) {
                    long due = at.toNanos() + (long) (random.nextDouble() * SLICE_SECONDS * 1e9);
                    plan.add(planRequest(each, due));
                }
            }
        }
        plan.sort((left, right) -> Long.compare(left.dueNanos(), right.dueNanos()));
        return plan;
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }

    private PlannedRequest planRequest(LoadClass each, long due) {
        long number = nextNumber++;
        Caller caller = drawCaller(each.callers());
        int length = (int) Math.max(
                2,
                Math.min(each.maxLength(), each.medianLength() * Math.exp(each.lengthSigma() * random.nextGaussian())));
        int chars = (int) Math.max(16, each.promptChars() * Math.exp(0.3 * random.nextGaussian()));
        String unique = each.profile() + " " + number + " " + Long.toHexString(random.nextLong());
        String message = unique + " [length " + length + "] " + "x".repeat(chars);
        String path = "/jobs/" + each.profile() + "-" + number + "-" + Long.toHexString(random.nextLong());
        String key = each.keyed() ? "key-" + unique.replace(' ', '-') : "";
        return new PlannedRequest(each, caller, message, path, key, due, random.nextInt(routers.size()));
    }

    private Caller drawCaller(List<Caller> callers) {
        double total = callers.stream().mapToDouble(Caller::weight).sum();
        double point = random.nextDouble() * total;
        for (Caller caller : callers) {
            point -= caller.weight();
            if (point < 0) {
                return caller;
            }
        }
        return callers.get(callers.size() - 1);
    }

    private void send(PlannedRequest planned, long dueNanos, int retry) {
        String router = routers.get((planned.firstRouter() + retry) % routers.size());
        CompletableFuture<Reply> reply = RouterCall.send(client, router, planned, dueNanos);
        reply.whenComplete((answer, failure) -> {
            if (failure != null) {
                System.getLogger(LoadGenerator.class.getName()).log(System.Logger.Level.ERROR, "load", failure);
                recordEnd(planned, ClientOutcome.LOST);
            } else {
                onReply(planned, answer, dueNanos, retry);
            }
        });
    }

    private void onReply(PlannedRequest planned, Reply reply, long dueNanos, int retry) {
        if (reply.ending() == ClientOutcome.UNREACHED && retry < MAX_RETRIES) {
            send(planned, dueNanos, retry + 1);
            return;
        }
        Tally tally = tallies.get(planned.loadClass().profile());
        if (reply.code() > 0) {
            tally.refused(reply.code());
        }
        boolean unresolved = reply.ending() == ClientOutcome.UNKNOWN || reply.ending() == ClientOutcome.CUT;
        Duration waited = Duration.ofNanos(System.nanoTime() - dueNanos);
        boolean beforeDeadline = waited.compareTo(planned.loadClass().deadline()) < 0;
        if (unresolved && planned.loadClass().keyed() && retry < MAX_RETRIES && beforeDeadline) {
            tally.repeated();
            retryScheduler.schedule(
                    () -> send(planned, dueNanos, retry + 1), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        if (reply.ending() == ClientOutcome.WHOLE) {
            LoadClass each = planned.loadClass();
            boolean met = meetsTarget(reply.untilFirst(), each.firstTarget())
                    && meetsTarget(reply.untilWhole(), each.completionTarget());
            tally.times(reply.untilFirst(), reply.untilWhole(), reply.tokens(), met);
        }
        recordEnd(planned, reply.ending());
    }

    private static boolean meetsTarget(Duration time, Duration target) {
        return target.isZero() || time.compareTo(target) <= 0;
    }

    private void recordEnd(PlannedRequest planned, ClientOutcome ending) {
        tallies.get(planned.loadClass().profile()).ended(ending);
        String call = planned.loadClass().isService() ? "POST " + planned.path() : Answers.mark(planned.message());
        ended.add(new EndedRequest(planned.loadClass(), call, ending));
        inFlight.arriveAndDeregister();
    }

    /**
     * Compares the outcomes reported to callers with the runs counted by the backends.
     *
     * @param runs how often each call was started: by {@code METHOD path} at services, by the mark of the answer at
     *     engines
     */
    public void audit(Map<String, Integer> runs) {
        for (EndedRequest sent : ended) {
            int count = runs.getOrDefault(sent.call(), 0);
            Tally tally = tallies.get(sent.loadClass().profile());
            if (!sent.loadClass().idempotent() && count > 1) {
                tally.doubled(1);
            }
            if (sent.ending() == ClientOutcome.NOT_RUN && count > 0) {
                tally.falselyNotRun(1);
            }
        }
    }

    @Override
    public void close() {
        retryScheduler.shutdownNow();
    }
}
