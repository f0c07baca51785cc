package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.attempt.RecentCrashes;
import org.tanagerhinge.core.attempt.RequestQuarantine;

/** Guards against reports of crashes that lose information, or that are cut since they outgrow a datagram. */
class CrashMessageTest {
    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final int CRASHES_KEPT = 8;

    /** Returns a suspicion of the largest size. */
    private static PartQuarantine.Suspicion suspicion(int number) {
        return new PartQuarantine.Suspicion(
                PartId.of(String.format("%032d", number)),
                Collections.nCopies(
                        CRASHES_KEPT, new PartQuarantine.PartCrash(-1, -2, 2 * RequestQuarantine.QUARANTINE_MILLIS)),
                Optional.of(2 * RequestQuarantine.QUARANTINE_MILLIS),
                RequestQuarantine.QUARANTINE_MILLIS);
    }

    @Test
    void largestMessagesSurviveRoundTripAndFitIntoDatagrams() throws InvalidProtocolBufferException {
        List<PartQuarantine.Suspicion> suspicions = new ArrayList<>();
        for (int i = 0; i < 2 * CrashMessage.MAX_SUSPICIONS + 1; i++) {
            suspicions.add(suspicion(i));
        }
        List<RecentCrashes.CrashedServer> crashes =
                Collections.nCopies(CRASHES_KEPT, new RecentCrashes.CrashedServer(-1, 5_000));
        List<CrashMessage> messages = CrashMessage.split("a-gateway-with-a-long-name", suspicions, crashes);
        assertEquals(4, messages.size());
        for (CrashMessage message : messages) {
            byte[] bytes = message.encode();
            assertTrue(bytes.length <= MAX_DATAGRAM_BYTES, bytes.length + " bytes");
            assertTrue(CrashMessage.isIn(bytes) && !StreamMessage.isIn(bytes));
            assertEquals(message, CrashMessage.decode(bytes));
        }
    }

    @Test
    void suspicionWithoutSoundRunSurvivesRoundTrip() throws InvalidProtocolBufferException {
        CrashMessage message = new CrashMessage(
                "a", List.of(new PartQuarantine.Suspicion(PartId.of("p"), List.of(), Optional.empty(), 0)), List.of());
        assertEquals(message, CrashMessage.decode(message.encode()));
        assertTrue(CrashMessage.split("a", List.of(), List.of()).isEmpty());
    }
}
