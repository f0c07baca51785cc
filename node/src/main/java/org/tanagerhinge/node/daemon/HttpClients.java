package org.tanagerhinge.node.daemon;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty HTTP clients with the limits that the daemons use. */
public final class HttpClients {
    private static final int MAX_CONNECTIONS = 4096;
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private HttpClients() {}

    /** Returns a started client whose threads are daemon threads. */
    public static HttpClient started(String name) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        HttpClient client = new HttpClient(CheckedHttpTransport.create());
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client", e);
        }
        return client;
    }
}
