package org.tanagerhinge.standin.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import org.tanagerhinge.platform.PlatformNames;

/** Writes configuration documents and server registrations into a store. */
public final class PlatformFixture {
    /** Timeout of a route, unless it is changed. */
    public static final int TIMEOUT_MILLIS = 5_000;
    /** Path of the health checks of all services. */
    public static final String HEALTH_PATH = "/health";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final StoreStandin store;
    private final ObjectNode config = JSON.createObjectNode();
    private final ArrayNode routes = config.putArray(PlatformNames.ROUTES);
    private final ArrayNode services = config.putArray("services");
    private final ArrayNode tenants = config.putArray(PlatformNames.TENANTS);
    private String host = "shop.example";
    private long version;

    private PlatformFixture(StoreStandin store) {
        this.store = store;
        config.putObject("limits")
                .put(PlatformNames.MAX_HEADER_BYTES, 16_384)
                .put(PlatformNames.MAX_BODY_BYTES, 4 << 20)
                .put(PlatformNames.HEADER_TIMEOUT_MILLIS, 3_000)
                .put(PlatformNames.IDLE_TIMEOUT_MILLIS, 15_000);
    }

    /** Returns a fixture without routes; {@link #publish()} writes it. */
    public static PlatformFixture in(StoreStandin store) {
        return new PlatformFixture(store);
    }

    /** Sets the host of routes added afterwards; the default is {@code shop.example}. */
    public void host(String name) {
        host = name;
    }

    /** Adds a route; kind is {@code safe}, {@code unsafe} or {@code streaming}. */
    public ObjectNode route(String prefix, String kind, String service) {
        return routes.addObject()
                .put("name", "r" + routes.size())
                .put(PlatformNames.HOSTNAME, host)
                .put("prefix", prefix)
                .put(PlatformNames.ROUTE_TYPE, kind)
                .put(PlatformNames.TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .put(PlatformNames.TARGET_LATENCY_MILLIS, 300)
                .put("priority", 1)
                .put("service", service)
                .put(PlatformNames.MAX_ATTEMPTS, 2)
                .put(PlatformNames.PUBLIC, false)
                .put(PlatformNames.STICKY, kind.equals("streaming"))
                .put(PlatformNames.RESUMABLE, false)
                .put(PlatformNames.TARGET_GAP_MILLIS, 120);
    }

    /** Adds a service; one with more than 0 slots is a model engine. */
    public ObjectNode service(String name, int slots) {
        ObjectNode service = services.addObject()
                .put("name", name)
                .put(PlatformNames.HEALTH_PATH, HEALTH_PATH)
                .put(PlatformNames.MAX_CONNECTIONS, 300);
        if (slots > 0) {
            service.putObject("engine").put("slots", slots).put(PlatformNames.KV_CAPACITY_TOKENS, 300_000);
        }
        return service;
    }

    /** Adds a workspace with a key. */
    public void workspace(String name, String key) {
        tenants.addObject().put("name", name).putArray(PlatformNames.API_KEYS).add(key);
    }

    /** Adds a workspace without keys. */
    public void workspaceWithoutKeys(String name) {
        tenants.addObject().put("name", name).putArray(PlatformNames.API_KEYS);
    }

    /** Removes all workspaces. */
    public void dropWorkspaces() {
        tenants.removeAll();
    }

    /** Returns the routes; changes take effect with the next {@link #publish()}. */
    public ArrayNode routes() {
        return routes;
    }

    /** Writes the configuration as a new version, and returns it. */
    public long publish() {
        version += 3;
        config.put("version", version);
        store.put(PlatformNames.CONFIG_KEY, config.toString());
        return version;
    }

    /** Registers a server; state is {@code ready} or {@code draining}. */
    public void register(ServerStandin server, String service, String state) {
        ObjectNode entry = entry(server.address(), service, state);
        if (!server.softwareVersion().isEmpty()) {
            entry.put("version", server.softwareVersion());
        }
        store.put(PlatformNames.SERVERS_PREFIX + server.id(), entry.toString());
    }

    /** Registers a server by its id and address. */
    public void register(String id, InetSocketAddress address, String service) {
        store.put(
                PlatformNames.SERVERS_PREFIX + id,
                entry(address, service, "ready").toString());
    }

    private static ObjectNode entry(InetSocketAddress address, String service, String state) {
        return JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + address.getPort())
                .put(PlatformNames.ZONE, "north")
                .put("slots", 8)
                .put("state", state);
    }

    /** Removes a server's registration. */
    public void unregister(ServerStandin server) {
        store.remove(PlatformNames.SERVERS_PREFIX + server.id());
    }
}
