package org.tanagerhinge.node.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Guards against a configuration that is read no more after a poll that threw. */
class ConfigPollerTest {
    private static final long PATIENCE_SECONDS = 20;

    /** Returns a store without documents whose first read throws an error. */
    private static PlatformStore failingOnce() {
        AtomicInteger reads = new AtomicInteger();
        return (PlatformStore) Proxy.newProxyInstance(
                PlatformStore.class.getClassLoader(), new Class<?>[] {PlatformStore.class}, (proxy, method, args) -> {
                    if (reads.incrementAndGet() == 1) {
                        throw new StackOverflowError("deliberate");
                    }
                    return Map.of();
                });
    }

    @Test
    void pollingContinuesAfterErrorsOfTheStoreAndOfTheInterval() throws InterruptedException {
        NodeMetrics metrics = NodeMetrics.create();
        CountDownLatch configs = new CountDownLatch(2);
        AtomicInteger intervals = new AtomicInteger();
        ConfigPoller poller = ConfigPoller.start(
                ConfigStore.in(failingOnce()),
                () -> {
                    if (intervals.incrementAndGet() == 2) {
                        throw new IllegalStateException("deliberate");
                    }
                    return Duration.ofMillis(20);
                },
                config -> configs.countDown(),
                metrics);
        try {
            assertTrue(configs.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        } finally {
            poller.close();
        }
        assertTrue(metrics.text().contains("reason=\"internal_error\""));
    }
}
