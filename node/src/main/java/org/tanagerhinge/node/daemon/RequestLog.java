package org.tanagerhinge.node.daemon;

import java.time.Duration;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;
import org.tanagerhinge.core.router.ExchangeOutcome;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/** Logs the dispatch, failed attempts and end of requests, without keys or bodies. */
public final class RequestLog {
    private RequestLog() {}

    /** Logs that a request is sent to a backend server or its agent. */
    public static void sent(RequestId request, ServerId server, Duration timeLeft) {
        LogLine.of(LogEvent.SENT)
                .with(LogField.ID, request.value())
                .with(LogField.SERVER, server.value())
                .with(LogField.LEFT_MS, timeLeft.toMillis())
                .write();
    }

    /** Logs a failed attempt of a request. */
    public static void attemptFailed(
            RequestId request, ServerId server, ResultCode code, RunOutcome runOutcome, String reason) {
        LogLine.failure(LogEvent.ATTEMPT_FAILED)
                .with(LogField.ID, request.value())
                .with(LogField.SERVER, server.value())
                .with(LogField.CODE, code.number())
                .with(LogField.RUN, runOutcome.label())
                .with(LogField.WHY, reason)
                .write();
    }

    /** Logs the end of a request. */
    public static void ended(ExchangeOutcome outcome) {
        boolean succeeded = outcome.code() == ResultCode.OK;
        LogLine.of(succeeded ? LogEvent.ENDED : LogEvent.REFUSED, !succeeded)
                .with(LogField.ID, outcome.request().value())
                .with(LogField.WORKSPACE, outcome.workspace().value())
                .with(LogField.PROFILE, outcome.profile().value())
                .with(LogField.STATUS, outcome.code().httpStatus())
                .with(LogField.CODE, outcome.code().number())
                .with(LogField.RUN, outcome.runOutcome().label())
                .with(LogField.UNITS, outcome.units())
                .with(LogField.ATTEMPT, outcome.attemptCount())
                .with(LogField.MS, outcome.totalTime().toMillis())
                .write();
    }
}
