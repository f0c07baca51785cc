package org.tanagerhinge.core.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/** Runs the core of a router with a clock of its own, and records what callers and agents get from it. */
final class RouterFixture implements RouterPort {
    static final Duration DEADLINE = Duration.ofSeconds(60);

    private static final Duration TICK = Duration.ofMillis(50);
    private static final String KEY_HASH = KeyDigest.sha256Hex("key");

    /** A frame that the router sent to an agent. */
    record Sent(ServerId server, Frame.FromRouter frame) {}

    final List<Sent> sent = new ArrayList<>();
    final Map<RequestId, StringBuilder> delivered = new HashMap<>();
    final Map<RequestId, ResultCode> results = new HashMap<>();
    final List<ServerId> unlinked = new ArrayList<>();
    final RouterCore core;
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private ServersDocument servers = ServersDocument.EMPTY;
    private int requests;

    private RouterFixture(UnaryOperator<RouterOptions> options) {
        core = RouterCore.create(
                RouterId.of("router-1", 1),
                options.apply(RouterOptions.defaults(FailureDomain.of("kita"))),
                () -> now,
                new Random(1),
                this,
                InvariantMonitor.strict());
    }

    /** Starts a router that is linked to engines; its retry budget is full. */
    static RouterFixture withEngines(String... names) {
        return started(UnaryOperator.identity(), ServerKind.MODEL, names);
    }

    /** Starts a router that is linked to engines and may not retry anything. */
    static RouterFixture withoutRetries(String... names) {
        return started(options -> options.withRetryBudget(0, 0), ServerKind.MODEL, names);
    }

    /** Starts a router that is linked to plain services. */
    static RouterFixture withServices(String... names) {
        return started(UnaryOperator.identity(), ServerKind.SERVICE, names);
    }

    private static RouterFixture started(UnaryOperator<RouterOptions> options, ServerKind kind, String... names) {
        RouterFixture fixture = new RouterFixture(options);
        for (String name : names) {
            fixture.servers = fixture.servers.withServer(new BackendServer(
                    ServerId.of(name),
                    "127.0.0.1:7000",
                    FailureDomain.of("kita"),
                    kind,
                    Set.of(TargetName.of("m")),
                    DesiredServerState.SERVING));
        }
        fixture.applyServers(fixture.servers);
        for (String name : names) {
            fixture.link(name);
        }
        fixture.pass(Duration.ofSeconds(12));
        return fixture;
    }

    void link(String name) {
        core.onLinkUp(ServerId.of(name), 1);
    }

    /** Applies a list of servers as the next revision. */
    void applyServers(ServersDocument next) {
        servers = next.nextRevision(servers.revision() + 1, "change-" + (servers.revision() + 1));
        core.applyConfig(new ClusterConfig(profiles(), servers));
    }

    ServersDocument servers() {
        return servers;
    }

    private static ProfilesDocument profiles() {
        try {
            return ConfigJson.parseProfiles("""
                    {"profiles": [
                      {"name": "chat", "tier": 2, "idempotent": true, "deadlineMillis": %d},
                      {"name": "card", "tier": 1, "idempotent": false, "deadlineMillis": %d}],
                     "workspaces": [{"name": "w", "keySha256": ["%s"]}]}
                    """.formatted(DEADLINE.toMillis(), DEADLINE.toMillis(), KEY_HASH))
                    .nextRevision(1, "profiles");
        } catch (InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lets time pass in which the router's timer runs and all linked agents that are named send heartbeats. */
    void pass(Duration duration) {
        Instant end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            core.onTick();
        }
    }

    /** Lets time pass in which the router's process does not run. */
    void pause(Duration duration) {
        now = now.plus(duration);
    }

    /** Sends a request of the idempotent profile. */
    RequestId ask(ServerKind kind) {
        RequestId id = RequestId.of("r" + ++requests);
        BackendCall call = kind == ServerKind.MODEL
                ? new BackendCall.ModelCall(new byte[10])
                : new BackendCall.ServiceCall("GET", "/", "text/plain", new byte[0]);
        core.onRequest(new IncomingRequest(
                id, KEY_HASH, "chat", kind, "m", call, Optional.empty(), "digest", 0, List.of(), ""));
        return id;
    }

    /** Returns the attempts of a request that were sent to agents, in order. */
    List<Sent> submitted(RequestId id) {
        return sent.stream()
                .filter(each -> each.frame() instanceof Frame.Submit submit
                        && submit.request().equals(id))
                .toList();
    }

    /** Returns the newest attempt of a request. */
    Sent newest(RequestId id) {
        return submitted(id).getLast();
    }

    static long attempt(Sent submitted) {
        return ((Frame.Submit) submitted.frame()).attempt();
    }

    /** Returns whether an attempt was cancelled at its agent. */
    boolean cancelled(Sent submitted) {
        return sent.stream()
                .anyMatch(each -> each.server().equals(submitted.server())
                        && each.frame() instanceof Frame.Cancel cancel
                        && cancel.attempt() == attempt(submitted));
    }

    void started(Sent submitted) {
        core.onFrame(submitted.server(), new Frame.Started(attempt(submitted)));
    }

    /** Delivers one unit of output, which the caller reads at once. */
    void output(Sent submitted, RequestId id, long offset, String text) {
        unreadOutput(submitted, offset, text);
        core.onCallerConsumed(id, 1);
    }

    /** Delivers one unit of output, which the caller does not read yet. */
    void unreadOutput(Sent submitted, long offset, String text) {
        core.onFrame(
                submitted.server(),
                new Frame.Chunk(attempt(submitted), offset, 1, text.getBytes(StandardCharsets.UTF_8)));
    }

    void done(Sent submitted, long units) {
        core.onFrame(submitted.server(), new Frame.Done(attempt(submitted), units, "stop", AgentLoad.initial()));
    }

    void notRun(Sent submitted, ResultCode code) {
        core.onFrame(
                submitted.server(), new Frame.NotRun(attempt(submitted), code, Duration.ZERO, AgentLoad.initial()));
    }

    void failed(Sent submitted) {
        core.onFrame(
                submitted.server(),
                new Frame.Failed(attempt(submitted), ResultCode.ENGINE_FAILED, "failed", AgentLoad.initial()));
    }

    String delivered(RequestId id) {
        return delivered.getOrDefault(id, new StringBuilder()).toString();
    }

    /** Returns how a request ended; empty while it is in progress. */
    Optional<ResultCode> result(RequestId id) {
        return Optional.ofNullable(results.get(id));
    }

    @Override
    public void send(ServerId server, Frame.FromRouter frame) {
        sent.add(new Sent(server, frame));
    }

    @Override
    public void claim(long sequence, ClaimEntry claim, long expectedGeneration) {}

    @Override
    public void releaseClaim(ClaimEntry claim) {}

    @Override
    public void keepClaims(List<StoredClaim> claims) {}

    @Override
    public long storeEra() {
        return 0;
    }

    @Override
    public void checkStoreEra(long stated) {}

    @Override
    public void link(BackendServer server) {}

    @Override
    public void unlink(ServerId server) {
        unlinked.add(server);
    }

    @Override
    public void deliverHead(RequestId request, int status, String contentType) {}

    @Override
    public void deliverChunk(RequestId request, long units, byte[] data) {
        delivered.computeIfAbsent(request, _ -> new StringBuilder()).append(new String(data, StandardCharsets.UTF_8));
    }

    @Override
    public void complete(RequestId request, String finishReason, long units) {
        results.put(request, ResultCode.OK);
    }

    @Override
    public void refuse(RequestId request, RequestFailure failure) {
        results.put(request, failure.code());
    }

    @Override
    public void exchangeEnded(ExchangeOutcome outcome) {}

    @Override
    public void countDecision(String reason) {}

    @Override
    public void configApplied(ClusterConfig config) {}
}
