package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PromptAwarePlacement;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against a gateway that reads more requests than it can serve when it gets most new connections. */
class MostConnectionsAtOneGatewayTest {
    private static final int GATEWAYS = 4;
    /** Time for which one request occupies a gateway; with that, one can serve about 125 a second. */
    private static final long REQUEST_MILLIS = 8;

    private static final int REQUESTS_PER_SECOND = 220;
    private static final long CALM_MILLIS = 2_000;
    private static final long HOT_MILLIS = 7_000;
    /** Time after which a gateway must cope with its share of new connections. */
    private static final long CONTACT_MILLIS = 3_000;
    /** Share of new connections that go to one gateway. */
    private static final double HOT_SHARE = 0.85;
    /** Time that a caller waits for an answer. */
    private static final int PATIENCE_MILLIS = 1_000;

    private final PromptCaller.Tally calm = new PromptCaller.Tally();
    private final PromptCaller.Tally hot = new PromptCaller.Tally();
    private final AtomicInteger closedUnread = new AtomicInteger();
    private final AtomicInteger nextId = new AtomicInteger();
    private RelayScene scene;
    private List<GatewayDaemon> gateways;

    @BeforeEach
    void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.route("/plain/", "unsafe", "plain");
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        for (int i = 0; i < 3; i++) {
            scene.server("p-" + i, "plain", ServerStandin.plain(200, "whole"));
        }
        gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            GatewayDaemon gateway = scene.gateway(slow(PromptAwarePlacement.create()));
            gateways.add(gateway);
        }
        gateways.forEach(gateway -> RelayScene.await(() -> gateway.peersPresent() == GATEWAYS - 1));
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    /** Returns a policy that occupies the event loop for as long as a request does on a slow host. */
    private static PlacementPolicy slow(PlacementPolicy policy) {
        return (PlacementPolicy) Proxy.newProxyInstance(
                PlacementPolicy.class.getClassLoader(),
                new Class<?>[] {PlacementPolicy.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("place")) {
                        Thread.sleep(REQUEST_MILLIS);
                    }
                    try {
                        return method.invoke(policy, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** Sends a request over a new connection, and again to any other gateway as long as it is closed unread. */
    private void call(int first, SplittableRandom random, PromptCaller.Tally tally) {
        List<GatewayDaemon> untried = new ArrayList<>(gateways);
        GatewayDaemon gateway = untried.remove(first);
        while (true) {
            try (RawCaller caller = RawCaller.to(gateway.address(), PATIENCE_MILLIS)) {
                String id = "attempt-" + nextId.getAndIncrement();
                tally.count(caller.exchange(RawCaller.request("POST", "/plain/x", id, "", "{}"))
                                .status()
                        == 200);
                return;
            } catch (EOFException | SocketException e) {
                closedUnread.incrementAndGet();
                if (untried.isEmpty()) {
                    return;
                }
                gateway = untried.remove(random.nextInt(untried.size()));
            } catch (IOException e) {
                tally.count(false);
                return;
            }
        }
    }

    private void callFor(long millis, double hotShare, long uncountedMillis, PromptCaller.Tally tally)
            throws InterruptedException {
        SplittableRandom random = new SplittableRandom(1);
        PromptCaller.Tally uncounted = new PromptCaller.Tally();
        List<Thread> callers = new CopyOnWriteArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < millis * REQUESTS_PER_SECOND / 1_000; i++) {
            long dueMillis = i * 1_000L / REQUESTS_PER_SECOND;
            long waitMillis = dueMillis - (System.nanoTime() - startNanos) / 1_000_000;
            if (waitMillis > 0) {
                Thread.sleep(waitMillis);
            }
            int gateway = random.nextDouble() < hotShare ? 0 : random.nextInt(GATEWAYS);
            PromptCaller.Tally current = dueMillis < uncountedMillis ? uncounted : tally;
            SplittableRandom callerRandom = random.split();
            callers.add(Thread.ofVirtual().start(() -> call(gateway, callerRandom, current)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
    }

    @Test
    void requestsThatItReadsAreServedWhileMostNewConnectionsGoToIt() throws InterruptedException {
        callFor(CALM_MILLIS, 0, 0, calm);
        callFor(HOT_MILLIS, HOT_SHARE, CONTACT_MILLIS, hot);
        String figures =
                "served " + calm + " before, " + hot + " while hot; " + closedUnread + " connections closed unread";
        System.out.println(figures);
        assertTrue(hot.share() >= 0.75 * calm.share(), figures);
        assertTrue(hot.sent() > 0.9 * (HOT_MILLIS - CONTACT_MILLIS) * REQUESTS_PER_SECOND / 1_000, figures);
    }
}
