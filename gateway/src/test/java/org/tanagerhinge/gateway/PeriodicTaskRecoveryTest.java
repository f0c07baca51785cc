package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.attempt.CrashSuspect;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.LeastInFlightPlacement;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.metrics.NodeMetrics;

/**
 * Guards against a loop that ends silently when one of its steps throws, after which the gateway that reads the store
 * for its peers no longer picks up configuration or servers.
 */
class PeriodicTaskRecoveryTest {
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration LONG_AFTER = Duration.ofMinutes(10);

    /** Faults of the store: the response holds no value, the call throws, or there is no response. */
    enum Fault {
        EMPTY_ANSWER,
        THROWN,
        ERROR_THROWN,
        NO_ANSWER
    }

    /** Serves all calls except the second one of one kind. */
    private static final class FaultyStore implements MetadataStore {
        private final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();
        private final String faultyCall;
        private final Fault fault;

        FaultyStore(String faultyCall, Fault fault) {
            this.faultyCall = faultyCall;
            this.fault = fault;
        }

        int calls(String kind) {
            return calls.computeIfAbsent(kind, name -> new AtomicInteger()).get();
        }

        private <T> void reply(String kind, T value, Consumer<Reply<T>> onReply) {
            int count = calls.computeIfAbsent(kind, name -> new AtomicInteger()).incrementAndGet();
            if (count == 2 && kind.equals(faultyCall)) {
                switch (fault) {
                    case EMPTY_ANSWER -> onReply.accept(new Success<>(null));
                    case THROWN -> throw new IllegalStateException("deliberate");
                    case ERROR_THROWN -> throw new StackOverflowError("deliberate");
                    case NO_ANSWER -> {}
                }
                return;
            }
            onReply.accept(new Success<>(value));
        }

        @Override
        public void listServers(long timeoutMillis, Consumer<Reply<Listing<ServerRegistration>>> onReply) {
            reply("servers", Listing.of(List.of()), onReply);
        }

        @Override
        public void readConfig(long timeoutMillis, Consumer<Reply<StoredConfig>> onReply) {
            reply("config", new StoredConfig(StorePosition.of(1, 1), new byte[0]), onReply);
        }

        @Override
        public void watchConfig(StorePosition after, long waitMillis, Consumer<Reply<StoredConfig>> onReply) {
            reply("watch", new StoredConfig(after, new byte[0]), onReply);
        }

        @Override
        public RelayConfig decodeConfig(byte[] document) {
            return RelayConfig.of(1, List.of(), List.of(), Map.of(), CallerLimits.DEFAULT);
        }

        @Override
        public void registerGateway(String name, String address, Duration lease, Consumer<Reply<Long>> onReply) {
            reply("join", 7L, onReply);
        }

        @Override
        public void keepAlive(long lease, Consumer<Reply<Boolean>> onReply) {
            reply("keep", false, onReply);
        }

        @Override
        public void listGateways(Consumer<Reply<Listing<String>>> onReply) {
            reply("gateways", Listing.of(List.of()), onReply);
        }

        @Override
        public void quarantine(Quarantined quarantined, Duration time, Consumer<Reply<Long>> onReply) {
            reply("hold", 7L, onReply);
        }

        @Override
        public void endQuarantine(CrashSuspect suspect, Consumer<Reply<Boolean>> onReply) {
            reply("unhold", true, onReply);
        }

        @Override
        public void listQuarantined(Consumer<Reply<Listing<Quarantined>>> onReply) {
            reply("held", Listing.of(List.of()), onReply);
        }

        @Override
        public void recordSoftwareVersions(
                List<ServiceVersion> versions, Duration time, Consumer<Reply<Long>> onReply) {
            reply("record_software", 7L, onReply);
        }

        @Override
        public void listSoftwareVersions(long timeoutMillis, Consumer<Reply<Listing<ServiceVersion>>> onReply) {
            reply("software", Listing.of(List.of()), onReply);
        }
    }

    /** Reads and writes no headers. */
    private static final class NoDialect implements Dialect {
        @Override
        public CallerMetadata callerMetadata(HttpRequest request) {
            return new CallerMetadata("", OptionalLong.empty(), Optional.empty(), Prompt.NONE, 0, Optional.empty());
        }

        @Override
        public void prepareBackendRequest(HttpHeaders headers, BackendRequestMetadata terms) {}

        @Override
        public BackendResponseMetadata responseMetadata(HttpResponse response) {
            return new BackendResponseMetadata(
                    "", false, false, Optional.empty(), Optional.empty(), false, OptionalLong.empty());
        }

        @Override
        public void prepareHealthCheck(HttpHeaders headers, String serverId) {}

        @Override
        public boolean isHealthOf(HttpResponse response, String serverId) {
            return true;
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }

    private static GatewayDaemon start(MetadataStore store) {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        GatewayOptions options = GatewayOptionsFixture.at(any);
        BiFunction<EventLoopGroup, StoreEra, DutyClient> noDuties = (loop, era) -> {
            throw new IllegalStateException("no duties");
        };
        return GatewayDaemon.start(
                options,
                new NoDialect(),
                LeastInFlightPlacement.create(),
                (loop, era) -> store,
                noDuties,
                Optional.empty());
    }

    private static boolean becomesTrue(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() - until < 0) {
            Thread.sleep(10);
        }
        return condition.getAsBoolean();
    }

    @ParameterizedTest
    @CsvSource({
        "servers, EMPTY_ANSWER",
        "servers, THROWN",
        "watch, EMPTY_ANSWER",
        "watch, THROWN",
        "keep, THROWN",
        "join, THROWN"
    })
    void storeLoopContinuesAfterAStepThrows(String kind, Fault fault) throws InterruptedException {
        FaultyStore store = new FaultyStore(kind, fault);
        GatewayDaemon gateway = start(store);
        try {
            assertTrue(becomesTrue(() -> store.calls(kind) > 3), "calls: " + store.calls(kind));
            assertTrue(gateway.metrics().text().contains("reason=\"task_failed\""), "failed task is not counted");
        } finally {
            gateway.close();
        }
    }

    /** Guards against a loop that an error ends, such as that of a stack which input has exhausted. */
    @ParameterizedTest
    @ValueSource(strings = {"servers", "watch"})
    void storeLoopContinuesAfterAnError(String kind) throws InterruptedException {
        storeLoopContinuesAfterAStepThrows(kind, Fault.ERROR_THROWN);
    }

    /** Guards against loops that wait for ever for a reply which never comes. */
    @ParameterizedTest
    @ValueSource(strings = {"servers", "watch", "keep"})
    void storeLoopContinuesAfterACallWithoutReply(String kind) throws InterruptedException {
        FaultyStore store = new FaultyStore(kind, Fault.NO_ANSWER);
        GatewayDaemon gateway = start(store);
        try {
            assertTrue(becomesTrue(() -> store.calls(kind) > 1), "calls: " + store.calls(kind));
            gateway.restartOverdueTasks(LONG_AFTER);
            assertTrue(becomesTrue(() -> store.calls(kind) > 3), "calls: " + store.calls(kind));
            assertTrue(gateway.metrics().text().contains("reason=\"task_overdue\""), "overdue task is not counted");
        } finally {
            gateway.close();
        }
    }

    /** Guards against a stalled loop that no metric shows. */
    @Test
    void ageOfEachTaskIsAMetric() throws InterruptedException {
        GatewayDaemon gateway = start(new FaultyStore("none", Fault.THROWN));
        try {
            for (String task : List.of("servers", "configuration", "lease", "peer_reports")) {
                assertTrue(becomesTrue(() ->
                        gateway.metrics().text().contains("tanagerhinge_task_age_seconds{task=\"" + task + "\"}")));
            }
        } finally {
            gateway.close();
        }
    }

    /** Covers reports to peers and the sweep of connections, which use the same repetition. */
    @Test
    void repeatedTaskContinuesAfterThrowing() throws InterruptedException {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Gateway gateway = Gateway.create(
                    loop,
                    new NoDialect(),
                    GatewayOptionsFixture.at(new InetSocketAddress(0)),
                    NodeMetrics.create(),
                    LeastInFlightPlacement.create());
            AtomicInteger steps = new AtomicInteger();
            gateway.repeat(
                    "test",
                    () -> {
                        if (steps.incrementAndGet() == 2) {
                            throw new IllegalStateException("deliberate");
                        }
                    },
                    () -> 5L);
            assertTrue(becomesTrue(() -> steps.get() > 4));
        } finally {
            loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }
}
