package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Prints the active configuration and the state of nodes. */
@Command(name = "status", description = "Show the active configuration and the state of nodes")
public final class StatusCommand extends PlatformCommand {
    private static final int HTTP_TIMEOUT_SECONDS = 2;
    private static final int HTTP_OK = 200;

    @Option(
            name = {"--node"},
            title = "URL",
            description = "Base URL of the metrics of a router or agent; may be repeated")
    private List<String> nodeUrls = new ArrayList<>();

    @Override
    void run() throws TanagerhingeException {
        ClusterConfig config = configStore().read();
        long serving = config.servers().servers().stream()
                .filter(server -> server.desiredState() == DesiredServerState.SERVING)
                .count();
        out().println("profiles  revision " + config.profiles().revision() + ", "
                + config.profiles().profiles().size() + " profiles, "
                + config.profiles().workspaces().size() + " workspaces");
        out().println("servers   revision " + config.servers().revision() + ", " + serving + " of "
                + config.servers().servers().size() + " serving");
        if (nodeUrls.isEmpty()) {
            return;
        }
        Table table = Table.of("NODE", "STATE", "REVISION", "LINKS", "QUEUED", "RUNNING", "LIMIT", "VIOLATIONS");
        nodeUrls.forEach(nodeUrl -> table.addRow(nodeRow(nodeUrl, config)));
        out().print(table);
    }

    private Object[] nodeRow(String nodeUrl, ClusterConfig config) {
        String metrics = fetchBody(nodeUrl + "/metrics");
        if (metrics == null) {
            return new Object[] {nodeUrl, "UNREACHABLE", "-", "-", "-", "-", "-", "-"};
        }
        String readiness = fetchBody(nodeUrl + "/readyz");
        long profilesRevision = metricValue(metrics, "tanagerhinge_config_revision");
        long serversRevision = metricValue(metrics, "tanagerhinge_servers_revision");
        boolean behind = profilesRevision < config.profiles().revision()
                || serversRevision < config.servers().revision();
        long inFlight = Math.max(
                metricValue(metrics, "tanagerhinge_in_flight"),
                metricValue(metrics, "tanagerhinge_requests_in_progress"));
        return new Object[] {
            nodeUrl,
            readiness == null ? "NOT READY" : "ready",
            profilesRevision + "/" + serversRevision + (behind ? " BEHIND" : ""),
            metricValue(metrics, "tanagerhinge_links"),
            formatValue(metricValue(metrics, "tanagerhinge_queue_length")),
            formatValue(inFlight),
            formatValue(metricValue(metrics, "tanagerhinge_concurrency_limit")),
            violationCount(metrics)
        };
    }

    private String fetchBody(String url) {
        try {
            ContentResponse response = httpClient()
                    .newRequest(url)
                    .timeout(HTTP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .send();
            return response.getStatus() == HTTP_OK ? response.getContentAsString() : null;
        } catch (ExecutionException | TimeoutException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static String formatValue(long value) {
        return value < 0 ? "-" : Long.toString(value);
    }

    private static long metricValue(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private static long violationCount(String metrics) {
        return metrics.lines()
                .filter(line ->
                        line.startsWith("tanagerhinge_invariant_checks_total") && line.contains("result=\"violated\""))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }
}
