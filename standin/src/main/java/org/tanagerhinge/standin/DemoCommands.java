package org.tanagerhinge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.standin.load.Caller;
import org.tanagerhinge.standin.load.ClientOutcome;
import org.tanagerhinge.standin.load.LoadClass;
import org.tanagerhinge.standin.load.LoadGenerator;
import org.tanagerhinge.standin.load.Tally;

/** Commands used by the demo script. */
final class DemoCommands {
    static final String MODEL = "tanager-8b";
    static final String SERVICE = "jobs";
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final List<Caller> CALLERS = List.of(
            new Caller("salon-umea", "sk-demo-umea", 3),
            new Caller("salon-lulea", "sk-demo-lulea", 1),
            new Caller("coop-otaru", "sk-demo-otaru", 1));

    private DemoCommands() {}

    /** Waits until all URLs respond with status 200. */
    @Command(name = "await", description = "Waits until all URLs respond with status 200")
    public static final class Await implements Runnable {
        @Arguments(title = "URL", description = "URLs to poll")
        private List<String> urls = new ArrayList<>();

        @Override
        public void run() {
            HttpClient client = HttpClients.started("await");
            long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
            for (String url : urls) {
                while (!respondsOk(client, url)) {
                    if (System.nanoTime() > deadlineNanos) {
                        System.err.println(url + " did not respond with status 200 in time");
                        System.exit(1);
                    }
                    sleep(POLL_INTERVAL);
                }
            }
            System.exit(0);
        }
    }

    /** Sets the faults that a stand-in injects. */
    @Command(name = "fault", description = "Sets the faults that a stand-in injects")
    public static final class Fault implements Runnable {
        @Option(name = "--url", description = "Base URL of the stand-in")
        private String url;

        @Option(name = "--body", description = "JSON with the faults")
        private String body;

        @Override
        public void run() {
            try {
                HttpClients.started("fault")
                        .POST(url + "/standin/faults")
                        .body(new StringRequestContent("application/json", body))
                        .timeout(5, TimeUnit.SECONDS)
                        .send();
                System.exit(0);
            } catch (InterruptedException | TimeoutException | ExecutionException e) {
                System.err.println(url + ": " + e);
                System.exit(1);
            }
        }
    }

    /** Prints the profiles document of the demo. */
    @Command(name = "demo-profiles", description = "Prints the profiles document of the demo")
    public static final class DemoProfiles implements Runnable {
        @Override
        public void run() {
            ObjectNode root = StandinServer.JSON.createObjectNode();
            ArrayNode profiles = root.putArray("profiles");
            addProfile(profiles, "card", 1, false, 800, 6000, 20_000, 30);
            addProfile(profiles, "chat", 2, true, 1000, 8000, 20_000, 20);
            addProfile(profiles, "status", 3, false, 0, 1500, 10_000, 20);
            ArrayNode workspaces = root.putArray("workspaces");
            for (Caller caller : CALLERS) {
                ObjectNode node = workspaces.addObject().put("name", caller.workspace());
                node.putArray("keySha256").add(KeyDigest.sha256Hex(caller.key()));
            }
            System.out.println(root.toPrettyString());
            System.exit(0);
        }

        private static void addProfile(
                ArrayNode profiles,
                String name,
                int tier,
                boolean idempotent,
                int firstTargetMillis,
                int completionTargetMillis,
                int deadlineMillis,
                int sharePercent) {
            profiles.addObject()
                    .put("name", name)
                    .put("tier", tier)
                    .put("idempotent", idempotent)
                    .put("firstTokenTargetMillis", firstTargetMillis)
                    .put("wholeTargetMillis", completionTargetMillis)
                    .put("deadlineMillis", deadlineMillis)
                    .put("sharePercent", sharePercent);
        }
    }

    /** Sends mixed traffic and prints the outcomes; exits 0 only if no answer was lost, duplicated, mixed up or cut. */
    @Command(name = "demo-load", description = "Sends the demo's traffic and checks every answer")
    public static final class DemoLoad implements Runnable {
        @Option(name = "--router", description = "Base URL of a router; may be repeated")
        private List<String> routers = new ArrayList<>();

        @Option(name = "--backend", description = "Base URL of an engine or service stand-in; may be repeated")
        private List<String> backends = new ArrayList<>();

        @Option(name = "--seconds", description = "Duration of the load in seconds")
        private int seconds = 20;

        @Override
        public void run() {
            HttpClient client = HttpClients.started("load");
            try (LoadGenerator load = LoadGenerator.of(client, routers, classes(), 1)) {
                load.run(Duration.ofSeconds(seconds));
                load.audit(runs(client, backends));
                System.exit(printResults(load.tallies()) ? 0 : 1);
            }
        }

        private static List<LoadClass> classes() {
            return List.of(
                    loadClass("card", "", 8, 60, true, false, 800, 6000, 20),
                    loadClass("chat", "", 12, 40, false, true, 1000, 8000, 20),
                    loadClass("status", SERVICE, 20, 1, true, false, 0, 1500, 10));
        }

        private static LoadClass loadClass(
                String profile,
                String service,
                double requestsPerSecond,
                int medianLength,
                boolean keyed,
                boolean idempotent,
                int firstTargetMillis,
                int completionTargetMillis,
                int deadlineSeconds) {
            return new LoadClass(
                    profile,
                    service,
                    MODEL,
                    List.of(new LoadClass.Rate(Duration.ZERO, requestsPerSecond)),
                    CALLERS,
                    400,
                    medianLength,
                    0.6,
                    300,
                    keyed,
                    idempotent,
                    Duration.ofMillis(firstTargetMillis),
                    Duration.ofMillis(completionTargetMillis),
                    Duration.ofSeconds(deadlineSeconds));
        }

        private static boolean printResults(Map<String, Tally> tallies) {
            boolean clean = true;
            System.out.println(
                    "profile   sent  whole  not run  unknown  cut  lost  mixed  doubled  repeats  attainment  first p95");
            for (Map.Entry<String, Tally> each : tallies.entrySet()) {
                Tally tally = each.getValue();
                System.out.println(String.format(
                        Locale.ROOT,
                        "%-8s %5d  %5d  %7d  %7d  %3d  %4d  %5d  %7d  %7d  %9.1f%%  %6d ms",
                        each.getKey(),
                        tally.sentCount(),
                        tally.count(ClientOutcome.WHOLE),
                        tally.count(ClientOutcome.NOT_RUN),
                        tally.count(ClientOutcome.UNKNOWN),
                        tally.count(ClientOutcome.CUT),
                        tally.count(ClientOutcome.LOST),
                        tally.count(ClientOutcome.MIXED),
                        tally.doubledCount(),
                        tally.repeats(),
                        tally.attainment() * 100,
                        tally.first(95).toMillis()));
                if (!tally.codes().isEmpty()) {
                    System.out.println("         result codes told: " + tally.codes());
                }
                clean &= tally.clean() && tally.count(ClientOutcome.CUT) == 0;
            }
            System.out.println(clean ? "nothing lost, doubled, mixed up or cut" : "NOT CLEAN");
            return clean;
        }
    }

    static Map<String, Integer> runs(HttpClient client, List<String> backends) {
        Map<String, Integer> runs = new HashMap<>();
        for (String backend : backends) {
            try {
                JsonNode node = StandinServer.JSON.readTree(
                        client.GET(backend + "/standin/runs").getContentAsString());
                node.properties()
                        .forEach(field ->
                                runs.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
            } catch (IOException | ExecutionException | TimeoutException e) {
                throw new IllegalStateException(backend + " did not return its run counts", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return runs;
    }

    private static boolean respondsOk(HttpClient client, String url) {
        try {
            return client.newRequest(url).timeout(2, TimeUnit.SECONDS).send().getStatus() == 200;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
