package org.tanagerhinge.core.router;

import java.time.Duration;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/**
 * How an exchange ended, for metrics and logs.
 *
 * @param firstOutput time from arrival to the first output; zero if there was none
 * @param attempts how many attempts were made
 */
public record ExchangeOutcome(
        RequestId request,
        WorkspaceId workspace,
        ProfileName profile,
        ResultCode code,
        RunOutcome runState,
        Duration timeToFirstOutput,
        Duration totalTime,
        long units,
        int attemptCount) {}
