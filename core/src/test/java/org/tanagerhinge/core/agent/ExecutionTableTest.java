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
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.ResultCode;

/** Tests the records of non-idempotent requests, and that a violated invariant is detected. */
class ExecutionTableTest {
    private static final KeyDigest DIGEST = new KeyDigest("00ff");
    private static final Execution FIRST = Execution.of(DIGEST, 1);

    private ExecutionTable table;
    private Run run;

    @BeforeEach
    void setUp() {
        table = new ExecutionTable(AgentOptions.defaults(), InvariantMonitor.strict());
        run = TestRuns.run("card", 1, 10, 10, "ws", Duration.ofSeconds(10), Optional.of(FIRST));
    }

    @Test
    void keepsCompleteAnswerForRetries() {
        table.recordQueued(run, TestRuns.NOW);
        table.recordStart(run);
        table.recordOutput(run, new Frame.Chunk(0, 0, 1, new byte[3]));
        table.recordCompletion(run, new Frame.Done(0, 1, "stop", AgentLoad.initial()));
        assertEquals(
                2,
                assertInstanceOf(ExecutionTable.Status.Completed.class, table.lookup(FIRST))
                        .answer()
                        .size());
    }

    @Test
    void closedGenerationStaysClosedAndNextIsUnseen() {
        table.close(Execution.of(DIGEST, 2), TestRuns.NOW);
        assertInstanceOf(ExecutionTable.Status.Closed.class, table.lookup(FIRST));
        assertInstanceOf(ExecutionTable.Status.Unseen.class, table.lookup(Execution.of(DIGEST, 3)));
    }

    @Test
    void evictedResultIsReportedAsOutcomeUnknown() {
        AgentOptions small = AgentOptions.defaults();
        ExecutionTable bounded = new ExecutionTable(
                new AgentOptions(
                        10,
                        10,
                        10,
                        small.recordTtl(),
                        100,
                        2,
                        small.heartbeatInterval(),
                        small.deadlineGrace(),
                        small.concurrency()),
                InvariantMonitor.strict());
        bounded.recordQueued(run, TestRuns.NOW);
        bounded.recordOutput(run, new Frame.Chunk(0, 0, 1, new byte[3]));
        bounded.recordCompletion(run, new Frame.Done(0, 1, "stop", AgentLoad.initial()));
        bounded.evict(TestRuns.NOW);
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN,
                assertInstanceOf(ExecutionTable.Status.ResultUnavailable.class, bounded.lookup(FIRST))
                        .code());
    }

    @Test
    void startWithoutRecordViolatesInvariant() {
        assertThrows(IllegalStateException.class, () -> table.recordStart(run));
    }

    @Test
    void closingStartedExecutionViolatesInvariant() {
        table.recordQueued(run, TestRuns.NOW);
        run.stateMachine().fire(RunEvent.DISPATCH);
        assertThrows(IllegalStateException.class, () -> table.close(FIRST, TestRuns.NOW));
    }
}
