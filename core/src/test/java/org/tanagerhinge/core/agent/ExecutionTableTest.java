package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.Load;
import org.tanagerhinge.core.result.ResultCode;

/** What an agent remembers of non-idempotent requests, and that its checks can fail. */
class ExecutionTableTest {
    private static final KeyDigest DIGEST = new KeyDigest("00ff");
    private static final Execution FIRST = Execution.of(DIGEST, 1);

    private ExecutionTable table;
    private Run run;

    @BeforeEach
    void start() {
        table = new ExecutionTable(AgentOptions.defaults(), InvariantMonitor.strict());
        run = Runs.run("card", 1, 10, 10, "ws", Duration.ofSeconds(10), Optional.of(FIRST));
    }

    @Test
    void aWholeAnswerIsHeldForWhoeverAsksAgain() {
        table.queued(run, Runs.NOW);
        table.begins(run);
        table.output(run, new Frame.Chunk(0, 0, 1, new byte[3]));
        table.whole(run, new Frame.Done(0, 1, "stop", Load.none()));
        assertEquals(
                2,
                assertInstanceOf(ExecutionTable.Known.Whole.class, table.lookup(FIRST))
                        .answer()
                        .size());
    }

    @Test
    void aClosedGenerationStaysClosedAndTheNextIsOpen() {
        table.close(Execution.of(DIGEST, 2), Runs.NOW);
        assertInstanceOf(ExecutionTable.Known.Closed.class, table.lookup(FIRST));
        assertInstanceOf(ExecutionTable.Known.Never.class, table.lookup(Execution.of(DIGEST, 3)));
    }

    @Test
    void aDroppedResultIsNeverRunAgain() {
        AgentOptions small = AgentOptions.defaults();
        ExecutionTable bounded = new ExecutionTable(
                new AgentOptions(
                        10,
                        10,
                        10,
                        small.recordTtl(),
                        100,
                        2,
                        small.heartbeat(),
                        small.overdueGrace(),
                        small.concurrency()),
                InvariantMonitor.strict());
        bounded.queued(run, Runs.NOW);
        bounded.output(run, new Frame.Chunk(0, 0, 1, new byte[3]));
        bounded.whole(run, new Frame.Done(0, 1, "stop", Load.none()));
        bounded.trim(Runs.NOW);
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN,
                assertInstanceOf(ExecutionTable.Known.Lost.class, bounded.lookup(FIRST))
                        .code());
    }

    @Test
    void beginningWithoutARecordIsCaught() {
        assertThrows(IllegalStateException.class, () -> table.begins(run));
    }

    @Test
    void closingWhatHasBegunIsCaught() {
        table.queued(run, Runs.NOW);
        run.machine().fire(RunEvent.DISPATCH);
        assertThrows(IllegalStateException.class, () -> table.close(FIRST, Runs.NOW));
    }
}
