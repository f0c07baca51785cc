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

/** Prints what is in force and how the nodes are. */
@Command(name = "status", description = "Show the configuration in force and the state of nodes")
public final class StatusCommand extends PlatformCommand {
    private static final int TIMEOUT_SECONDS = 2;
    private static final int OK = 200;

    @Option(
            name = {"--node"},
            title = "URL",
            description = "Base URL of a router's or agent's metrics; may be given again")
    private List<String> nodes = new ArrayList<>();

    @Override
    void run() throws TanagerhingeException {
        ClusterConfig config = store().read();
        long serving = config.servers().servers().stream()
                .filter(server -> server.desiredState() == DesiredServerState.SERVING)
                .count();
        out().println("profiles  revision " + config.profiles().revision() + ", "
                + config.profiles().profiles().size() + " profiles, "
                + config.profiles().workspaces().size() + " workspaces");
        out().println("servers   revision " + config.servers().revision() + ", " + serving + " of "
                + config.servers().servers().size() + " serving");
        if (nodes.isEmpty()) {
            return;
        }
        Table table = Table.of("NODE", "STATE", "REVISION", "LINKS", "QUEUED", "RUNNING", "LIMIT", "VIOLATIONS");
        nodes.forEach(node -> table.row(row(node, config)));
        out().print(table);
    }

    private Object[] row(String node, ClusterConfig config) {
        String metrics = page(node + "/metrics");
        if (metrics == null) {
            return new Object[] {node, "UNREACHABLE", "-", "-", "-", "-", "-", "-"};
        }
        String ready = page(node + "/readyz");
        long profiles = value(metrics, "tanagerhinge_config_revision");
        long servers = value(metrics, "tanagerhinge_servers_revision");
        boolean behind = profiles < config.profiles().revision()
                || servers < config.servers().revision();
        long running =
                Math.max(value(metrics, "tanagerhinge_in_flight"), value(metrics, "tanagerhinge_requests_in_progress"));
        return new Object[] {
            node,
            ready == null ? "NOT READY" : "ready",
            profiles + "/" + servers + (behind ? " BEHIND" : ""),
            value(metrics, "tanagerhinge_links"),
            shown(value(metrics, "tanagerhinge_queue_length")),
            shown(running),
            shown(value(metrics, "tanagerhinge_concurrency_limit")),
            violations(metrics)
        };
    }

    private String page(String url) {
        try {
            ContentResponse response = http().newRequest(url)
                    .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .send();
            return response.getStatus() == OK ? response.getContentAsString() : null;
        } catch (ExecutionException | TimeoutException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static String shown(long value) {
        return value < 0 ? "-" : Long.toString(value);
    }

    private static long value(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private static long violations(String metrics) {
        return metrics.lines()
                .filter(line ->
                        line.startsWith("tanagerhinge_invariant_checks_total") && line.contains("result=\"violated\""))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }
}
