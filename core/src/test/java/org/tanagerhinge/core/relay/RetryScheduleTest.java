package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which times to retry are promised, and what the promises of peers change. */
class RetryScheduleTest {
    private static final String SERVICE = "model";
    /** Work that the gateways of the tests admit in each slot. */
    private static final long SLOT_WORK = 10_000;
    /** Time at which two seconds of admitted work have been recorded. */
    private static final long NOW = 10_000;

    private static final long TIME_LEFT = 9_000;

    private static RetrySchedule withCapacity(long workPerSlot) {
        RetrySchedule schedule = RetrySchedule.create();
        for (long millis = NOW - 1_900; millis <= NOW; millis += 100) {
            schedule.recordAdmitted(SERVICE, workPerSlot, millis);
        }
        return schedule;
    }

    private static PeerReport report(String peer, long incarnation, Map<String, PromisedWork> promised) {
        return new PeerReport(peer, incarnation, 1, "a:1", true, 0, 1, 0, 0, 0, 250, Map.of(), Map.of(), Map.of())
                .withPromised(promised);
    }

    private static long slot(long delayMillis) {
        return (NOW + delayMillis) / 100 - NOW / 100;
    }

    private static Map<Long, Integer> slots(RetrySchedule schedule, int promises, long work, long timeLeftMillis) {
        Map<Long, Integer> slots = new HashMap<>();
        for (int i = 0; i < promises; i++) {
            slots.merge(slot(schedule.promise(SERVICE, work, timeLeftMillis, NOW, () -> 0.5)), 1, Integer::sum);
        }
        return slots;
    }

    /** Guards against callers of a burst that all come back at once and are rejected again. */
    @Test
    void fillsTheSlotsInOrder() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        for (int i = 0; i < 40; i++) {
            long slot = slot(schedule.promise(SERVICE, SLOT_WORK / 2, TIME_LEFT, NOW, () -> 0.5));
            assertEquals(3 + i / 2, slot, "promise " + i);
        }
    }

    /** Guards against promises that pile up on one slot when more callers are rejected than can be served in time. */
    @Test
    void spreadsEvenlyWhenNoSlotIsFree() {
        Map<Long, Integer> slots = slots(withCapacity(SLOT_WORK), 28 * 5, SLOT_WORK, TIME_LEFT);
        assertEquals(28, slots.size(), "slots from 300 to 3,000 ms: " + slots);
        slots.values().forEach(count -> assertEquals(5, count, slots.toString()));
    }

    /** Guards against a gateway that has just started and sends all callers to the first slot, or far away. */
    @Test
    void spreadsEvenlyWithoutHistory() {
        Map<Long, Integer> slots = slots(RetrySchedule.create(), 28, 500, TIME_LEFT);
        assertEquals(28, slots.size(), slots.toString());
    }

    /** Guards against promises later than callers wait, which is a third of the time that they have left. */
    @ParameterizedTest
    @CsvSource({"9000, 300, 3000", "1200, 300, 400", "600, 200, 200", "2, 1, 1", "0, 1, 1", "-50, 1, 1"})
    void promisesWithinAThirdOfTheTimeLeft(long timeLeftMillis, long minMillis, long maxMillis) {
        RetrySchedule schedule = withCapacity(1);
        for (int i = 0; i < 500; i++) {
            long delayMillis = schedule.promise(SERVICE, 5_000, timeLeftMillis, NOW, new Random(i)::nextDouble);
            assertTrue(delayMillis >= minMillis && delayMillis <= maxMillis, delayMillis + " ms");
        }
    }

    /** Guards against gateways that each promise the same slots. */
    @Test
    void slotsThatPeersFilledAreNotPromised() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(0, 3, List.of(10L, 10L)))), NOW);
        assertEquals(5, slot(schedule.promise(SERVICE, 500, TIME_LEFT, NOW, () -> 0.5)));
    }

    /** Guards against a gateway with many rejections that ignores what is free in its peers' share of the slots. */
    @Test
    void usesCapacityThatPeersReportAsFree() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(10, 0, List.of()))), NOW);
        assertEquals(Map.of(3L, 2), slots(schedule, 2, SLOT_WORK, TIME_LEFT));
    }

    /** Guards against a newer report that is added to the peer's earlier one, which would leave slots empty. */
    @Test
    void newerReportReplacesTheEarlierOne() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        for (int i = 0; i < 5; i++) {
            schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(0, 3, List.of(6L)))), NOW);
        }
        assertEquals(3, slot(schedule.promise(SERVICE, 500, TIME_LEFT, NOW, () -> 0.5)));
    }

    /** Guards against promises that are lost with a peer's process: its callers come back to the other gateways. */
    @Test
    void keepsPromisesOfARestartedPeer() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(0, 3, List.of(10L)))), NOW);
        schedule.recordPeer(report("p", 2, Map.of(SERVICE, new PromisedWork(0, 0, List.of()))), NOW);
        assertEquals(4, slot(schedule.promise(SERVICE, 500, TIME_LEFT, NOW, () -> 0.5)));
    }

    /** Guards against a report of the previous version, which has no promises, that clears or breaks the schedule. */
    @Test
    void reportWithoutPromisesChangesNothing() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(0, 3, List.of(10L)))), NOW);
        schedule.recordPeer(report("p", 1, Map.of()), NOW);
        assertEquals(4, slot(schedule.promise(SERVICE, 500, TIME_LEFT, NOW, () -> 0.5)));
    }

    /** Guards against the capacity of a silent peer, which counts on although the peer may serve nobody any more. */
    @Test
    void forgetsCapacityOfSilentPeers() {
        RetrySchedule schedule = RetrySchedule.create();
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(10, 0, List.of()))), NOW - 5_100);
        schedule.nextReport(1, NOW);
        assertEquals(28, slots(schedule, 28, 500, TIME_LEFT).size(), "no capacity is known, so callers are spread");
    }

    /** Guards against slots that stay full although they have passed and nobody came back. */
    @Test
    void slotsThatPassedAreFreeAgain() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        slots(schedule, 100, SLOT_WORK, TIME_LEFT);
        for (long millis = NOW + 100; millis <= NOW + 20_000; millis += 100) {
            schedule.recordAdmitted(SERVICE, SLOT_WORK, millis);
        }
        assertEquals(0, schedule.promisedShare(SERVICE, NOW + 20_000));
        long delayMillis = schedule.promise(SERVICE, 500, TIME_LEFT, NOW + 20_000, () -> 0.5);
        assertTrue(delayMillis < 400, delayMillis + " ms");
    }

    /** Guards against malformed or future reports that write outside of the slots. */
    @ParameterizedTest
    @ValueSource(ints = {-1_000, -1, 40, 60, 1_000_000, Integer.MAX_VALUE})
    void ignoresPromisesOutsideOfTheSlots(int firstSlot) {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        List<Long> work = List.of(10L, 10L, 10L);
        schedule.recordPeer(report("p", 1, Map.of(SERVICE, new PromisedWork(0, firstSlot, work))), NOW);
        assertEquals(3, slot(schedule.promise(SERVICE, 500, TIME_LEFT, NOW, () -> 0.5)));
    }

    /** Guards against control traffic of a deployment that has rejected nobody. */
    @Test
    void reportsNothingWithoutPromises() {
        assertEquals(Map.of(), withCapacity(SLOT_WORK).nextReport(22, NOW));
    }

    /** Guards against peers that are told less than was promised. */
    @Test
    void reportRoundsUp() {
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        schedule.nextReport(22, NOW - 1_000);
        schedule.promise(SERVICE, 10_400, TIME_LEFT, NOW, () -> 0.5);
        schedule.promise(SERVICE, 1, TIME_LEFT, NOW, () -> 0.5);
        assertEquals(Map.of(SERVICE, new PromisedWork(10, 3, List.of(11L, 1L))), schedule.nextReport(22, NOW));
    }

    /**
     * Guards in random runs against promises outside of their bounds, and against a slot that is promised beyond its
     * capacity while another one within the bounds is free.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void randomRunsKeepTheBounds(long seed) {
        Random random = new Random(seed);
        RetrySlots slots = new RetrySlots(0);
        long now = 0;
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(10) == 0 ? random.nextInt(random.nextInt(50) == 0 ? 20_000 : 400) : 0;
            int choice = random.nextInt(20);
            if (choice < 8) {
                slots.recordAdmitted(random.nextInt(3_000), now);
            } else if (choice < 10) {
                List<Long> work = random.longs(random.nextInt(60), 0, 4).boxed().toList();
                slots.recordPeer(
                        "p" + random.nextInt(5),
                        random.nextInt(30) / 29,
                        new PromisedWork(random.nextInt(5), random.nextInt(40), work),
                        now);
            } else if (choice == 10) {
                slots.forgetOldPeers(now);
            } else {
                long earliest = now + 300;
                long latest = now + 300 + random.nextInt(4_700);
                Map<Long, Long> before = new HashMap<>();
                for (long slot = earliest / 100; slot <= latest / 100; slot++) {
                    before.put(slot, slots.promised(slot * 100, now));
                }
                long capacity = slots.capacity(now);
                assertTrue(capacity >= 0, "capacity " + capacity);
                long chosen = slots.promise(1 + random.nextInt(2_000), earliest, latest, now);
                assertTrue(before.containsKey(chosen), chosen + " of " + before);
                long least = before.values().stream().min(Long::compare).orElseThrow();
                assertTrue(least >= 0, before.toString());
                assertTrue(
                        before.get(chosen) < capacity || before.get(chosen) == least,
                        "slot " + chosen + ", capacity " + capacity + ": " + before);
            }
        }
    }

    /** Guards against reports that exceed 4,000 bytes a second to all peers together, whatever their number. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 22, 409})
    void reportsKeepTheBoundOnBytes(int peers) {
        Random random = new Random(peers);
        RetrySchedule schedule = withCapacity(SLOT_WORK);
        long bytes = 0;
        long reports = 0;
        long seconds = 60;
        for (long now = NOW; now < NOW + seconds * 1_000; now += 60) {
            for (int i = 0; i < 20; i++) {
                schedule.promise("model" + i % 3, 1 + random.nextInt(50_000), TIME_LEFT, now, random::nextDouble);
            }
            Map<String, PromisedWork> report = schedule.nextReport(peers, now);
            reports += report.isEmpty() ? 0 : 1;
            for (Map.Entry<String, PromisedWork> entry : report.entrySet()) {
                bytes += peers
                        * (long) (entry.getKey().length() + entry.getValue().maxBytes());
            }
        }
        assertTrue(bytes <= 4_000 * seconds, bytes + " bytes in " + seconds + " s");
        assertTrue(reports >= 1, reports + " reports");
    }
}
