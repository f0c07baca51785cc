package org.tanagerhinge.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.WorkspaceConfig;
import org.tanagerhinge.core.relay.WorkspaceShares;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Records the log lines and metrics of one request: each decision, its inputs, and the outcome. */
final class RequestTelemetry {
    private static final int MAX_LOGGED_PARTS = 32;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final Gateway gateway;
    private final String id;
    private final long arrivedAtMillis;
    private Optional<Route> route = Optional.empty();
    /** Service among whose requests this one is counted; empty before it is known. */
    private String service = "";

    private boolean begun;
    private boolean serverBrokeOff;
    private boolean timeIsUp;
    private int attempts;
    private String server = "";
    private String reason = "";
    private Optional<WorkspaceShares.Excess> excess = Optional.empty();

    private RequestTelemetry(Gateway gateway, String id, long arrivedAtMillis) {
        this.gateway = gateway;
        this.id = id;
        this.arrivedAtMillis = arrivedAtMillis;
    }

    /** Returns the telemetry of a request that arrived at a time in milliseconds. */
    static RequestTelemetry of(Gateway gateway, String id, long arrivedAtMillis) {
        return new RequestTelemetry(gateway, id, arrivedAtMillis);
    }

    private LogLine logLine(LogEvent event, boolean failure) {
        return LogLine.of(event, failure).with(LogField.ID, id);
    }

    void routed(Route found, Optional<WorkspaceConfig> workspace, String foundService, int rank, long remainingMillis) {
        route = Optional.of(found);
        service = foundService;
        gateway.outcomes().asked(service, found.priority(), label(found));
        logLine(LogEvent.ROUTED, false)
                .with(LogField.ROUTE, found.name())
                .with(LogField.WORKSPACE, workspace.map(WorkspaceConfig::name).orElse(""))
                .with(LogField.SERVICE, foundService)
                .with(LogField.CONFIG, gateway.configVersion())
                .with(
                        LogField.SERVERS_AGE_MS,
                        gateway.nowMillis() - gateway.directory().newestListMillis())
                .with(LogField.RANK, rank)
                .with(LogField.LEFT_MS, remainingMillis)
                .write();
    }

    /** Logs that the caller resumes a stream of which an earlier attempt of its own brought the first events. */
    void takenUp(Route found, String resumedAttemptId, long lastEventId) {
        route = Optional.of(found);
        gateway.count("taken_up");
        logLine(LogEvent.TAKEN_UP, false)
                .with(LogField.ROUTE, found.name())
                .with(LogField.RESUMES, resumedAttemptId)
                .with(LogField.EVENT_ID, lastEventId)
                .write();
    }

    /** Logs what is known of the beginning of the stream that the caller resumes. */
    void matched(OriginMatch match) {
        switch (match) {
            case OriginMatch.Found found ->
                logLine(LogEvent.MATCHED, false)
                        .with(LogField.SERVICE, found.origin().service())
                        .with(LogField.SOFTWARE, found.origin().softwareVersion())
                        .with(LogField.SOURCE, found.basis().name().toLowerCase(Locale.ROOT))
                        .with(LogField.AGE_MS, found.ageMillis())
                        .with(LogField.MS, gateway.nowMillis() - arrivedAtMillis)
                        .write();
            case OriginMatch.Unknown unknown -> {
                gateway.count("taken_up_unknown");
                reason = "no gateway in reach knows what began the stream";
            }
        }
    }

    /** Notes that no server of the software version that began the stream can be chosen, and why. */
    void withoutServerOfVersion(String service, String softwareVersion) {
        gateway.count("no_server_of_version");
        List<ServerInstance> servers = gateway.directory().all().stream()
                .filter(known -> known.service().equals(service)
                        && known.softwareVersion().equals(softwareVersion))
                .toList();
        long available = servers.stream().filter(ServerInstance::available).count();
        reason = "none of the " + servers.size() + " servers of software version '" + softwareVersion
                + "' can be chosen, of which " + available + " are ready";
    }

    /** Counts a stream that goes on after its caller has resumed it. */
    void takenUpContinues() {
        gateway.count("taken_up_continued");
    }

    /**
     * Logs the start of an attempt, with the server's load at the time of the decision.
     *
     * @param suspects parts of the prompt that are suspected of crashing servers, with the number of crashes
     * @return the number of the attempt, from 1
     */
    int sent(PlacementPolicy.Decision decision, int candidates, int level, String suspects) {
        attempts++;
        ServerInstance chosen = decision.server();
        server = chosen.id();
        LogLine line = logLine(LogEvent.SENT, false)
                .with(LogField.SERVER, server)
                .with(LogField.SOFTWARE, chosen.softwareVersion())
                .with(LogField.ATTEMPT, attempts)
                .with(LogField.CANDIDATES, candidates)
                .with(LogField.RUNNING, chosen.totalInFlight())
                .with(LogField.READING, chosen.totalPendingPrefillTokens())
                .with(LogField.TO_READ, decision.tokensToPrefill())
                .with(LogField.STEP, decision.step())
                .with(LogField.LEVEL, level);
        decision.fetch().ifPresent(fetch -> {
            gateway.count("fetch");
            line.with(LogField.FETCH, fetch.tokens())
                    .with(LogField.FETCH_FROM, fetch.source().id());
        });
        if (chosen.workTime().known()) {
            line.with(LogField.WORK_TIME, Math.round(100 * chosen.workTime().current(gateway.nowMillis())));
        }
        if (!suspects.isEmpty()) {
            line.with(LogField.SUSPECTS, suspects);
        }
        line.with(LogField.PEERS, gateway.peersPresent()).write();
        return attempts;
    }

    /** A request during which a server may have crashed. */
    record Suspect(RequestFingerprint fingerprint, Prompt prompt) {
        private String parts() {
            return prompt.sharedParts().stream()
                    .limit(MAX_LOGGED_PARTS)
                    .map(PromptPart::id)
                    .collect(Collectors.joining(","));
        }
    }

    /** Counts the first output of the answer. */
    void outputBegan() {
        if (!begun) {
            begun = true;
            route.ifPresent(found -> gateway.outcomes().begun(service, found.priority(), label(found)));
        }
    }

    private void lost(String cause) {
        if (!service.isEmpty()) {
            route.ifPresent(found -> gateway.outcomes().lost(service, found.priority(), label(found), cause));
        }
    }

    /** Logs a failed attempt; {@code suspect} is present if its connection broke. */
    void attemptFailed(
            RelayAttempt attempt,
            AttemptFailure failure,
            String reason,
            ResponseProgress progress,
            Optional<Suspect> suspect) {
        serverBrokeOff |= failure.connectionBroken();
        LogLine line = attemptFailedLine(attempt, failure, reason, progress);
        suspect.ifPresent(found ->
                line.with(LogField.FINGERPRINT, found.fingerprint().toString()).with(LogField.PARTS, found.parts()));
        line.write();
    }

    private LogLine attemptFailedLine(
            RelayAttempt attempt, AttemptFailure failure, String why, ResponseProgress progress) {
        return logLine(LogEvent.ATTEMPT_FAILED, true)
                .with(LogField.SERVER, attempt.server().id())
                .with(LogField.ATTEMPT, attempt.number())
                .with(LogField.END, failure.name().toLowerCase(Locale.ROOT))
                .with(LogField.WHY, why)
                .with(LogField.RUN, failure.mayHaveRun() ? "unknown" : "not_run")
                .with(LogField.EVENT_ID, progress.lastEventId())
                .with(LogField.MS, gateway.nowMillis() - attempt.startedAtMillis());
    }

    /** Logs that the request is sent to another server while that of an attempt is silent. */
    void hedged(RelayAttempt silent) {
        gateway.count("hedged");
        logLine(LogEvent.HEDGED, false)
                .with(LogField.SERVER, silent.server().id())
                .with(LogField.ATTEMPT, silent.number())
                .with(LogField.SILENT_MS, silent.silenceMillis())
                .with(LogField.LOOP_DELAY_MS, gateway.sweepDelayMillis())
                .write();
    }

    /** Notes which attempt goes on with the answer. */
    void answeredBy(RelayAttempt attempt) {
        server = attempt.server().id();
    }

    /** Logs that another attempt goes on with the answer in place of one whose server is silent. */
    void replaced(RelayAttempt silent, long silenceMillis, ResponseProgress progress) {
        attemptFailedLine(silent, AttemptFailure.SILENT, "another server answered first", progress)
                .with(LogField.SILENT_MS, silenceMillis)
                .write();
    }

    /** Counts an attempt that was cancelled since the server for which it was to stand in went on. */
    void hedgeCancelled() {
        gateway.count("hedge_cancelled");
    }

    /** Logs a retry at another server. */
    void retried(String service, ResponseProgress progress) {
        boolean resumed = progress.headForwarded();
        gateway.count(resumed ? "resumed" : "repeated");
        retryLine(resumed ? LogEvent.RESUMED : LogEvent.REPEATED, service)
                .with(LogField.ATTEMPT, attempts + 1)
                .with(LogField.EVENT_ID, progress.lastEventId())
                .write();
    }

    /** Logs that a request isn't retried because the retry budget of its service is spent. */
    void retryDenied(String service) {
        gateway.count("retry_denied");
        retryLine(LogEvent.RETRY_DENIED, service)
                .with(LogField.ATTEMPT, attempts)
                .write();
    }

    private LogLine retryLine(LogEvent event, String service) {
        RetryBudget.Usage usage = gateway.budget().usage(service, gateway.nowMillis());
        return logLine(event, true)
                .with(LogField.SERVICE, service)
                .with(LogField.RETRIES, usage.retries())
                .with(LogField.RETRIES_LEFT, (long) usage.retriesLeft())
                .with(LogField.NODES, gateway.budget().nodeCount(gateway.nowMillis()));
    }

    void abandoned() {
        timeIsUp = true;
        gateway.count("given_up");
        logLine(LogEvent.GIVEN_UP, true)
                .with(LogField.MS, gateway.nowMillis() - arrivedAtMillis)
                .write();
    }

    /** Notes why the admission policy rejected the request at the chosen server. */
    void rejected(AdmissionPolicy.Rejection rejection, PlacementPolicy.Decision decision, int rank) {
        server = decision.server().id();
        excess = rejection.excess();
        reason = switch (rejection.reason()) {
            case YIELDS_TO_URGENT -> "requests more urgent than rank " + rank + " are overdue at this server";
            case OVER_SHARE -> {
                gateway.count("over_share");
                yield "service is short of capacity and the workspace is over its share";
            }
            case EXPECTED_LATE -> {
                gateway.count("turned_away");
                yield "expected wait at this server is " + Math.round(decision.expectedWaitMillis()) + " ms";
            }
        };
    }

    /** Notes why the request is quarantined. */
    void quarantined(String quarantineReason) {
        server = "";
        reason = quarantineReason;
    }

    /** Notes that no further server may be tried, and what became of those that were. */
    void withoutServer(String lastFailure, String triedService) {
        long nowMillis = gateway.nowMillis();
        List<ServerInstance> servers = gateway.directory().available(triedService);
        long usable = servers.stream()
                .filter(known -> known.health().usable(nowMillis))
                .count();
        reason = lastFailure + "; " + attempts + " servers tried, " + usable + " of " + servers.size()
                + " listed ones are usable";
    }

    /** Logs a request that was dropped with its connection before it was read completely. */
    void unread(String why) {
        gateway.count("request_unread");
        logLine(LogEvent.UNREAD, true).with(LogField.WHY, why).write();
    }

    /** Logs that the process ends before it knows an answer to be delivered, or before it has read a request. */
    void undelivered(String why, long unsentBytes) {
        gateway.count("undelivered_at_exit");
        logLine(LogEvent.UNDELIVERED, true)
                .with(LogField.UNSENT_BYTES, unsentBytes)
                .with(LogField.WHY, why)
                .write();
    }

    void refused(Refusal refusal) {
        lost(refusal.code().label());
        LogLine line = logLine(LogEvent.REFUSED, true)
                .with(LogField.ROUTE, route.map(Route::name).orElse(""))
                .with(LogField.SERVER, server)
                .with(LogField.WHY, reason)
                .with(LogField.STATUS, refusal.status())
                .with(LogField.CODE, refusal.code().number())
                .with(LogField.RUN, refusal.executionStatus())
                .with(LogField.RETRY_AFTER_MS, refusal.retryAfterMillis())
                .with(LogField.ATTEMPT, attempts)
                .with(LogField.MS, gateway.nowMillis() - arrivedAtMillis);
        excess.ifPresent(found -> line.with(LogField.WORKSPACE, found.workspace())
                .with(LogField.SHARE, Math.round(found.share()))
                .with(LogField.USE, Math.round(found.use()))
                .with(LogField.PEER_USES_AGE_MS, found.peerFiguresAgeMillis()));
        line.write();
    }

    void truncated(String reason, ResponseProgress progress) {
        gateway.count("answer_cut");
        if (!serverBrokeOff && !timeIsUp) {
            gateway.count("answer_cut_at_working_server");
        }
        lost("answer_cut");
        finalLine(LogEvent.CUT, true, progress).with(LogField.WHY, reason).write();
    }

    void callerDisconnected(ResponseProgress progress) {
        gateway.count("caller_gone");
        lost("caller_gone");
        finalLine(LogEvent.CALLER_GONE, true, progress).write();
    }

    /** Logs a completely forwarded response, and records its latencies. */
    void completed(int status, ResponseProgress progress) {
        long nowMillis = gateway.nowMillis();
        boolean late = missedTarget(nowMillis, progress);
        if (status >= MIN_SERVER_ERROR_STATUS) {
            lost("server_error");
        } else {
            outputBegan();
            route.ifPresent(found -> gateway.outcomes().served(service, found.priority(), label(found)));
        }
        finalLine(LogEvent.ENDED, late || status >= 400, progress)
                .with(LogField.STATUS, status)
                .with(LogField.LATE, late)
                .write();
        route.ifPresent(current -> recordTimes(label(current), nowMillis, progress));
        if (late) {
            gateway.count("answered_late");
        }
    }

    private void recordTimes(String label, long nowMillis, ResponseProgress progress) {
        long firstEventMillis = progress.firstEventAtMillis() < 0 ? 0 : progress.firstEventAtMillis() - arrivedAtMillis;
        NodeMetrics metrics = gateway.metrics();
        metrics.observeAnswer(
                label,
                Duration.ofMillis(firstEventMillis),
                Duration.ZERO,
                Duration.ofMillis(nowMillis - arrivedAtMillis));
        metrics.longestEventGap(label, Duration.ofMillis(progress.longestGapMillis()));
    }

    /**
     * Returns the metrics label, by kind and rank, so that the number of series does not grow with routes and
     * workspaces.
     */
    private static String label(Route route) {
        return route.kind().name().toLowerCase(Locale.ROOT) + "/" + route.priority();
    }

    private LogLine finalLine(LogEvent event, boolean failure, ResponseProgress progress) {
        LogLine line = logLine(event, failure)
                .with(LogField.ROUTE, route.map(Route::name).orElse(""))
                .with(LogField.SERVER, server)
                .with(LogField.ATTEMPT, attempts)
                .with(LogField.MS, gateway.nowMillis() - arrivedAtMillis);
        if (progress.firstEventAtMillis() >= 0) {
            line.with(LogField.FIRST_MS, progress.firstEventAtMillis() - arrivedAtMillis)
                    .with(LogField.PAUSE_MS, progress.longestGapMillis())
                    .with(LogField.EVENT_ID, progress.lastEventId());
        }
        return line;
    }

    private boolean missedTarget(long nowMillis, ResponseProgress progress) {
        if (route.isEmpty() || route.get().targetMillis() <= 0) {
            return false;
        }
        Route current = route.get();
        if (current.kind() != RouteKind.STREAM || progress.firstEventAtMillis() < 0) {
            return nowMillis - arrivedAtMillis > current.targetMillis();
        }
        return progress.firstEventAtMillis() - arrivedAtMillis > current.targetMillis()
                || (current.maxEventGapMillis() > 0 && progress.longestGapMillis() > current.maxEventGapMillis());
    }
}
