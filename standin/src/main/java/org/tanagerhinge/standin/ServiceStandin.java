package org.tanagerhinge.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Simulates a plain service with a fixed call duration and bounded concurrency, and counts calls by method and path.
 *
 * <p>{@code GET /standin/runs} returns the counts. The response to a call is its method, its path and its count.
 */
public final class ServiceStandin implements AutoCloseable {
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final ExecutorService workers;
    private final StandinServer server;
    private final long callMillis;

    private ServiceStandin(int port, int concurrency, long callMillis) {
        this.callMillis = callMillis;
        this.workers = Executors.newFixedThreadPool(
                concurrency,
                Thread.ofPlatform().name("service-standin-", 0).daemon().factory());
        this.server = StandinServer.start(port, "service-standin", this::handle);
    }

    /** Starts the service on a loopback port; 0 selects a free one. */
    public static ServiceStandin start(int port, int concurrency, long callMillis) {
        return new ServiceStandin(port, concurrency, callMillis);
    }

    /** Returns the base URL. */
    public String url() {
        return server.url();
    }

    /** Returns how often each call ran, by {@code METHOD path}. */
    public Map<String, Integer> runs() {
        return runs;
    }

    private void handle(String method, String path, byte[] body, StandinServer.Exchange exchange) {
        if (path.equals("/standin/runs")) {
            exchange.json(200, StandinServer.JSON.valueToTree(runs));
            return;
        }
        String call = method + " " + path;
        workers.execute(() -> {
            int count = runs.merge(call, 1, Integer::sum);
            try {
                Thread.sleep(callMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                exchange.abort();
                return;
            }
            exchange.text(200, "text/plain", call + " " + count + "\n");
        });
    }

    @Override
    public void close() {
        workers.shutdownNow();
        server.close();
    }
}
