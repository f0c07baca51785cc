package org.tanagerhinge.core.router;

import java.time.Duration;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/**
 * Reports how an exchange ended, for metrics and logs.
 *
 * @param timeToFirstOutput time from arrival to the first output; zero if there was none
 * @param totalTime time from arrival to the end
 * @param units units delivered to the caller: tokens of a model, bytes of a plain service
 * @param attemptCount number of messages to agents that submitted the request or queried its outcome
 */
public record ExchangeOutcome(
        RequestId request,
        WorkspaceId workspace,
        ProfileName profile,
        ResultCode code,
        RunOutcome runOutcome,
        Duration timeToFirstOutput,
        Duration totalTime,
        long units,
        int attemptCount) {}
