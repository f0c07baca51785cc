package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;

/** Guards against servers that are crashed one after the other by different requests with one part in their prompts. */
class PromptPartCrashesServersTest {
    private static final int GATEWAYS = 4;
    private static final int ENGINES = 6;
    private static final int EVENTS = 10;
    private static final int SOUND_CALLERS = 8;
    private static final long CALM_MILLIS = 1_500;
    private static final long CRASHING_MILLIS = 9_000;
    /** Time from the start of the crashes after which sound requests are counted. */
    private static final long SETTLED_MILLIS = 4_000;

    private static final long CRASHING_GAP_MILLIS = 150;
    private static final long RETRY_MILLIS = 50;
    private static final long CONTACT_MILLIS = 3_000;
    /** Number of requests with the part that may reach servers once it must be known everywhere. */
    private static final int MAX_LATE_ARRIVALS = 3;

    private static final String CRASHING_PART = "bad0bad0";

    private RelayScene scene;
    private CrashingEngines engines;
    private List<GatewayDaemon> gateways;
    private volatile boolean over;

    @BeforeEach
    void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.service("model", 16);
        scene.platform.route("/ask/", "streaming", "model").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        engines = CrashingEngines.start(scene, ENGINES, EVENTS);
        gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(scene.gateway());
        }
        gateways.forEach(gateway -> RelayScene.await(() -> gateway.peersPresent() == GATEWAYS - 1));
    }

    @AfterEach
    void tearDown() {
        engines.close();
        scene.close();
    }

    private void callSoundly(
            GatewayDaemon gateway,
            List<String> parts,
            PromptCaller.Tally calm,
            PromptCaller.Tally settled,
            long startNanos) {
        while (!over) {
            long ageMillis = (System.nanoTime() - startNanos) / 1_000_000;
            boolean begun = PromptCaller.begins(gateway, parts, "");
            if (ageMillis < CALM_MILLIS) {
                calm.count(begun);
            } else if (ageMillis > CALM_MILLIS + SETTLED_MILLIS) {
                settled.count(begun);
            }
            if (!begun) {
                RelayScene.sleep(RETRY_MILLIS);
            }
        }
    }

    /** Guards against crashes that begin anew after a loss of all gateways. */
    @Test
    void heldPartOutlastsALossOfAllGateways() throws IOException {
        engines.crashOn(CRASHING_PART, CrashingEngines.Written.NOTHING);
        List<String> crashingParts = List.of("5afe0001", CRASHING_PART);
        for (int i = 0; i < 3; i++) {
            PromptCaller.begins(gateways.get(i), crashingParts, "");
        }
        PromptCaller.begins(gateways.get(0), List.of("5afe0001"), "");
        RelayScene.await(() -> scene.store.keys("held/part/").equals(List.of("held/part/" + CRASHING_PART)));
        List.copyOf(gateways).forEach(scene::stop);
        GatewayDaemon later = scene.gateway();
        RelayScene.await(() -> later.metrics().text().contains("reason=\"part_held\""));
        int crashes = engines.crashes(CRASHING_PART);
        assertFalse(PromptCaller.begins(later, crashingParts, ""));
        assertEquals(crashes, engines.crashes(CRASHING_PART));
        assertTrue(PromptCaller.begins(later, List.of("5afe0001"), ""), "others are served");
    }

    @ParameterizedTest
    @CsvSource({"0, NOTHING", "1, HEAD", "2, EVENT", "1, EVENT_WITHOUT_FRAMING"})
    void partThatCrashesServersIsSentNoMoreAndRequestsWithoutItAreServed(int place, CrashingEngines.Written written)
            throws InterruptedException {
        List<String> soundParts = List.of("5afe0001", "5afe0002");
        List<String> crashingParts = new ArrayList<>(soundParts);
        crashingParts.add(place, CRASHING_PART);
        engines.crashOn(CRASHING_PART, written);
        PromptCaller.Tally calm = new PromptCaller.Tally();
        PromptCaller.Tally settled = new PromptCaller.Tally();
        long startNanos = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SOUND_CALLERS; i++) {
            GatewayDaemon gateway = gateways.get(i % GATEWAYS);
            threads.add(Thread.ofVirtual().start(() -> callSoundly(gateway, soundParts, calm, settled, startNanos)));
        }
        Thread.sleep(CALM_MILLIS);
        for (long millis = 0; millis < CRASHING_MILLIS; millis += CRASHING_GAP_MILLIS) {
            GatewayDaemon gateway = gateways.get((int) (millis / CRASHING_GAP_MILLIS) % GATEWAYS);
            threads.add(Thread.ofVirtual().start(() -> PromptCaller.begins(gateway, crashingParts, "")));
            Thread.sleep(CRASHING_GAP_MILLIS);
        }
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        int late = engines.arrivalsAfterCrashesAllowed(CRASHING_PART, CONTACT_MILLIS);
        String figures = engines.crashes(CRASHING_PART) + " crashes, " + late + " requests sent after the fifth, sound "
                + "ones begun " + calm + " before, " + settled + " after";
        System.out.println(place + " " + written + ": " + figures);
        assertTrue(late <= MAX_LATE_ARRIVALS, figures);
        assertTrue(settled.share() >= calm.share() / 2, figures);
    }
}
