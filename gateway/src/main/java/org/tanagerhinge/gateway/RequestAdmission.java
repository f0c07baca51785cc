package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.WorkspaceShares;

/** Asks the admission policy about one request, and tells it what became of the request. */
final class RequestAdmission {
    /** Lowest status of a response whose time doesn't tell the work of the request. */
    private static final int MIN_ERROR_STATUS = 400;

    private final Gateway gateway;
    private Optional<WorkspaceShares.Ask> ask = Optional.empty();
    private Optional<Route> plainRoute = Optional.empty();
    private boolean decided;
    private boolean returned;
    private boolean mayHaveRun;

    private RequestAdmission(Gateway gateway) {
        this.gateway = gateway;
    }

    static RequestAdmission of(Gateway gateway) {
        return new RequestAdmission(gateway);
    }

    /** Returns the rejection of a request that is about to be sent; always empty once it was sent. */
    Optional<AdmissionPolicy.Rejection> rejection(AdmissionPolicy.Request request, PlacementPolicy.Decision decision) {
        if (decided) {
            admitAgain();
            return Optional.empty();
        }
        decided = true;
        recordAsk(request, decision.tokensToPrefill());
        return gateway.admission()
                .rejection(
                        request,
                        decision,
                        gateway.nowMillis(),
                        () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Admits the rest of a stream, which was admitted when it began. */
    void admitRest(AdmissionPolicy.Request request, PlacementPolicy.Decision decision) {
        if (decided) {
            admitAgain();
            return;
        }
        decided = true;
        recordAsk(request, decision.tokensToPrefill());
        ask.ifPresent(found -> {
            shares().recordAsked(found, gateway.nowMillis());
            shares().recordAdmitted(found, gateway.nowMillis());
        });
    }

    private void recordAsk(AdmissionPolicy.Request request, int tokensToPrefill) {
        if (gateway.admission().sharesApply(request)) {
            ask = Optional.of(gateway.admission().ask(request, tokensToPrefill));
            plainRoute = Optional.of(request.placement())
                    .filter(placement -> !placement.service().hasModelEngines())
                    .map(PlacementRequest::route);
        }
    }

    private void admitAgain() {
        if (returned) {
            returned = false;
            ask.ifPresent(found -> shares().recordAdmitted(found, gateway.nowMillis()));
        }
    }

    /** Records a request for which no server is available; it is a sign of a shortage if servers are full. */
    void withoutServer(AdmissionPolicy.Request request) {
        if (!decided) {
            decided = true;
            recordAsk(request, request.placement().prompt().inputTokens());
            ask.ifPresent(found -> shares().recordAsked(found, gateway.nowMillis()));
        }
        ask.filter(found -> plainRoute.isPresent() && anyServerFull(found.service()))
                .ifPresent(found -> shares().recordShort(found.service(), gateway.nowMillis()));
    }

    private boolean anyServerFull(String service) {
        long nowMillis = gateway.nowMillis();
        return gateway.directory().available(service).stream()
                .map(ServerInstance::instanceId)
                .anyMatch(id -> !gateway.serverAnnouncements().isLeaving(id, nowMillis)
                        && gateway.serverAnnouncements().backoffMillis(id, nowMillis) > 0);
    }

    /** Records a failed attempt; work that no server may have run wasn't admitted. */
    void attemptFailed(ServerInstance server, AttemptFailure failure) {
        mayHaveRun |= failure.mayHaveRun();
        if (failure.mayHaveRun() || returned) {
            return;
        }
        long nowMillis = gateway.nowMillis();
        if (!mayHaveRun) {
            returned = true;
            ask.ifPresent(found -> shares().recordReturned(found, nowMillis));
        }
        if (failure == AttemptFailure.NOT_RUN
                && plainRoute.isPresent()
                && !gateway.serverAnnouncements().isLeaving(server.instanceId(), nowMillis)) {
            ask.ifPresent(found -> shares().recordShort(found.service(), nowMillis));
        }
    }

    /** Records the time of a complete response, which tells the work of requests at plain servers. */
    void completed(int status, long millis) {
        if (status < MIN_ERROR_STATUS) {
            plainRoute.ifPresent(route -> gateway.admission().responseTimes().record(route, millis));
        }
    }

    private WorkspaceShares shares() {
        return gateway.admission().shares();
    }
}
