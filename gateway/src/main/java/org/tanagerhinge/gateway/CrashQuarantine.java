package org.tanagerhinge.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tanagerhinge.core.attempt.CrashSuspect;
import org.tanagerhinge.core.attempt.EndedRuns;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.attempt.RecentCrashes;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Quarantines the requests that crash backend servers, from what this gateway sees and its peers report: requests that
 * are repeated ({@link RequestQuarantine}), and different ones that share a part of their prompts ({@link
 * PartQuarantine}).
 */
final class CrashQuarantine {
    private static final int MAX_LOGGED_SUSPECTS = 16;

    /** Time by which a trial has shown whether its suspect is at fault, for callers that wait for it. */
    private static final long TRIAL_RUN_MILLIS = 2_000;
    /** Time by which a trial may begin later at each further gateway. */
    private static final long TURN_MILLIS = 2_000;

    private static final long MAX_TURN_DELAY_MILLIS = 60_000;

    /** Time after its start for which a gateway can't know which parts have run well. */
    private static final long COLD_MILLIS = 20_000;

    private final Gateway gateway;
    private final long startedAtMillis;
    private final RequestQuarantine requests = RequestQuarantine.create();
    private final PartQuarantine parts = PartQuarantine.create();
    private final EndedRuns endedRuns = EndedRuns.create();
    private final RecentCrashes recentCrashes = RecentCrashes.create();
    private final Set<Set<PartId>> knownCulprits = new HashSet<>();
    private Runnable suspicionListener = () -> {};
    private Optional<StoreListener> storeListener = Optional.empty();

    CrashQuarantine(Gateway gateway) {
        this.gateway = gateway;
        this.startedAtMillis = gateway.nowMillis();
    }

    /** Is told of what the platform's store should keep. */
    interface StoreListener {
        /**
         * Called when a request or a part of prompts is newly quarantined.
         *
         * @param seenHere whether a crash that this gateway saw has led to it
         */
        void quarantined(CrashSuspect suspect, boolean seenHere);

        /**
         * Called when something is not quarantined any more since it isn't at fault.
         *
         * @param seenHere whether a run at this gateway has shown it
         */
        void released(CrashSuspect suspect, boolean seenHere);

        /** Returns the turn of this gateway in what one of them should do for all, from 0. */
        int trialTurn();
    }

    /**
     * Why a request is not sent.
     *
     * @param remainingMillis time after which it may be sent, or another request has shown whether it may
     * @param suspects what is quarantined
     * @param trialDue whether this gateway may send it on trial
     */
    record Held(String reason, long remainingMillis, List<CrashSuspect> suspects, boolean trialDue) {}

    /** Registers the listener for new suspicions and clearings. */
    void onSuspicion(Runnable listener) {
        suspicionListener = listener;
    }

    void connectStore(StoreListener listener) {
        storeListener = Optional.of(listener);
    }

    RequestQuarantine requests() {
        return requests;
    }

    PartQuarantine parts() {
        return parts;
    }

    /** Records the parts of a prompt that has arrived. */
    void requestArrived(List<PartId> sharedParts) {
        parts.recordArrival(sharedParts);
    }

    /** Returns why a request must not be sent, unless on trial; empty if it may. */
    Optional<Held> held(Supplier<RequestFingerprint> fingerprint, List<PartId> sharedParts) {
        long nowMillis = gateway.nowMillis();
        Optional<Held> heldForPart = parts.culpritAmong(sharedParts, nowMillis).map(this::heldFor);
        Optional<Held> heldForRequest = requests.isEmpty() ? Optional.empty() : heldFor(fingerprint.get(), nowMillis);
        if (heldForPart.isEmpty() || heldForRequest.isEmpty()) {
            return heldForPart.or(() -> heldForRequest);
        }
        Held part = heldForPart.get();
        Held request = heldForRequest.get();
        Held longer = part.remainingMillis() >= request.remainingMillis() ? part : request;
        List<CrashSuspect> both = new ArrayList<>(part.suspects());
        both.addAll(request.suspects());
        return Optional.of(
                new Held(longer.reason(), longer.remainingMillis(), both, part.trialDue() && request.trialDue()));
    }

    private Held heldFor(PartQuarantine.Culprit culprit) {
        String reason = culprit.crashCount() + " servers crashed while running prompts with " + joined(culprit.parts());
        return held(
                reason,
                culprit.untilMillis() - gateway.nowMillis(),
                List.copyOf(culprit.parts()),
                parts.trialFromMillis(culprit, unknownSinceMillis()));
    }

    private Optional<Held> heldFor(RequestFingerprint request, long nowMillis) {
        OptionalLong remainingMillis = requests.remainingMillis(request, nowMillis);
        return remainingMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(held(
                        "servers crashed while running " + request,
                        remainingMillis.getAsLong(),
                        List.of(request),
                        requests.trialFromMillis(request)));
    }

    private Held held(String reason, long untilEndMillis, List<CrashSuspect> suspects, OptionalLong trialFromMillis) {
        if (trialFromMillis.isEmpty()) {
            return new Held(reason, untilEndMillis, suspects, false);
        }
        long untilTrialMillis = trialFromMillis.getAsLong() - gateway.nowMillis();
        OptionalInt turn = trialTurn();
        boolean due = turn.isPresent() && untilTrialMillis + turnDelayMillis(turn.getAsInt()) <= 0;
        long untilShownMillis = Math.max(0, untilTrialMillis) + TRIAL_RUN_MILLIS;
        return new Held(reason, Math.min(untilEndMillis, untilShownMillis), suspects, due);
    }

    /** Begins the trial of a request for which one is due. */
    QuarantineTrial takeTrial(Held held) {
        for (CrashSuspect suspect : held.suspects()) {
            switch (suspect) {
                case RequestFingerprint request -> {
                    requests.takeTrial(request, gateway.nowMillis());
                    gateway.count("request_tried");
                }
                case PartId part -> {
                    parts.takeTrial(part, gateway.nowMillis());
                    gateway.count("part_tried");
                }
            }
        }
        return new QuarantineTrial(held.suspects(), this::endTrial);
    }

    private void endTrial(CrashSuspect suspect, long delayMillis) {
        long nextMillis = gateway.nowMillis() + delayMillis;
        switch (suspect) {
            case RequestFingerprint request -> requests.endTrial(request, nextMillis);
            case PartId part -> parts.endTrial(part, nextMillis);
        }
    }

    private OptionalInt trialTurn() {
        return storeListener.stream().mapToInt(StoreListener::trialTurn).findFirst();
    }

    /** Lets one gateway after the other begin a trial, since those before may get no request for it. */
    private static long turnDelayMillis(int turn) {
        return Math.min(MAX_TURN_DELAY_MILLIS, turn * TURN_MILLIS);
    }

    /** Returns the time since which this gateway can't know which parts run well, as long as it acts for all. */
    private long unknownSinceMillis() {
        boolean cold = gateway.nowMillis() - startedAtMillis < COLD_MILLIS;
        return cold && trialTurn().equals(OptionalInt.of(0)) ? startedAtMillis : Long.MAX_VALUE;
    }

    /** Returns whether something may be quarantined by mistake, so that a trial may clear it. */
    boolean isDoubtful(CrashSuspect suspect) {
        return switch (suspect) {
            case RequestFingerprint request -> requests.isDoubtful(request);
            case PartId part -> parts.isDoubtful(part);
        };
    }

    /** Returns the suspected ones of some parts, each with its number of crashes; empty without any. */
    String suspected(Collection<PartId> sharedParts) {
        if (parts.isEmpty()) {
            return "";
        }
        return sharedParts.stream()
                .filter(part -> parts.crashCount(part) > 0)
                .limit(MAX_LOGGED_SUSPECTS)
                .map(part -> part + ":" + parts.crashCount(part))
                .collect(Collectors.joining(","));
    }

    // ---- evidence of this gateway

    /** Records that a server crashed with these runs in flight. */
    void serverCrashed(ServerInstance server, Collection<SuspectRun> inFlight) {
        recentCrashes.add(server.instanceId(), gateway.nowMillis());
        List<EndedRuns.Ended> ended = endedRuns.takeCrashed(server.instanceId()::equals);
        inFlight.forEach(run -> recordCrash(run, true, server.instanceId()));
        ended.forEach(run -> recordCrash(run.run(), !run.completed(), server.instanceId()));
        Set<PartId> inFlightParts = new HashSet<>();
        inFlight.forEach(run -> inFlightParts.addAll(run.parts()));
        ended.forEach(run -> inFlightParts.addAll(run.run().parts()));
        LogLine.failure(LogEvent.SERVER_CRASHED)
                .with(LogField.SERVER, server.id())
                .with(LogField.SERVICE, server.service())
                .with(LogField.COUNT, inFlight.size())
                .with(LogField.SUSPECTS, suspected(inFlightParts))
                .write();
        announceCulprits("seen here; " + server.id() + " was the last server", true);
        suspicionListener.run();
    }

    private void recordCrash(SuspectRun run, boolean againstRequest, String instanceId) {
        long nowMillis = gateway.nowMillis();
        if (againstRequest && requests.recordCrash(run.request(), instanceId, nowMillis)) {
            requestQuarantined(
                    run.request(), "servers crashed while running it; " + instanceId + " was the last", true);
        }
        parts.recordCrash(run, instanceId, nowMillis);
    }

    /** Records that a run ended for which a server may still crash; {@code completed} tells whether it has answered. */
    void runEnded(ServerInstance server, SuspectRun run, boolean completed) {
        endedRuns.add(server.instanceId(), run, completed, gateway.nowMillis());
    }

    /** Records that a server went on with an answer to a prompt with these parts. */
    void runIsSound(ServerInstance server, List<PartId> sharedParts) {
        List<PartQuarantine.Cleared> cleared = parts.recordSoundRun(sharedParts, gateway.nowMillis());
        for (PartQuarantine.Cleared found : cleared) {
            logCleared(LogField.PART, found.part().toString(), server.id(), "run by the server");
            if (found.wasQuarantined()) {
                storeListener.ifPresent(store -> store.released(found.part(), true));
            }
        }
        if (!cleared.isEmpty()) {
            announceCulprits("another one is cleared", true);
            suspicionListener.run();
        }
    }

    /** Clears what completed runs show to be sound, and removes what has expired. */
    void sweep() {
        long nowMillis = gateway.nowMillis();
        for (EndedRuns.Ended ended : endedRuns.takeSound(nowMillis)) {
            ServerInstance server = gateway.directory().instance(ended.instanceId());
            String serverId = server == null ? ended.instanceId() : server.id();
            requestCompleted(ended.run().request(), serverId, nowMillis);
            if (server != null) {
                runIsSound(server, ended.run().parts());
            }
        }
        requests.evictExpired(nowMillis);
        parts.evictExpired(nowMillis);
        announceCulprits("crashes explained anew", false);
    }

    private void requestCompleted(RequestFingerprint request, String serverId, long nowMillis) {
        boolean wasQuarantined = requests.remainingMillis(request, nowMillis).isPresent();
        if (requests.recordCompletedRun(request, nowMillis)) {
            logCleared(LogField.FINGERPRINT, request.toString(), serverId, "completed by the server");
            suspicionListener.run();
        }
        requestReleased(request, wasQuarantined, true);
    }

    /** Has the store forget a request that was quarantined and isn't any more. */
    private void requestReleased(RequestFingerprint request, boolean wasQuarantined, boolean seenHere) {
        if (wasQuarantined
                && requests.remainingMillis(request, gateway.nowMillis()).isEmpty()) {
            storeListener.ifPresent(store -> store.released(request, seenHere));
        }
    }

    // ---- evidence of others

    /** Merges a peer's suspicion against a request. */
    void suspicionReceived(String peer, RequestQuarantine.Suspicion suspicion) {
        boolean wasQuarantined = requests.remainingMillis(suspicion.request(), gateway.nowMillis())
                .isPresent();
        if (requests.merge(suspicion, gateway.nowMillis())) {
            requestQuarantined(suspicion.request(), "reported by " + peer, false);
        }
        requestReleased(suspicion.request(), wasQuarantined, false);
    }

    /** Merges what a peer reports of crashes and suspected parts of prompts. */
    void receive(CrashMessage message) {
        message.crashes().forEach(crash -> addEndedRuns(crash.instanceHash()));
        for (PartQuarantine.Suspicion suspicion : message.suspicions()) {
            if (parts.merge(suspicion, gateway.nowMillis())) {
                logCleared(LogField.PART, suspicion.part().toString(), message.sender(), "reported by the peer");
            }
        }
        announceCulprits("reported by " + message.sender(), false);
    }

    /** Takes the messages about what is new, for all peers. */
    List<CrashMessage> takeUpdates() {
        long nowMillis = gateway.nowMillis();
        return CrashMessage.split(
                gateway.options().name(), parts.pendingUpdates(nowMillis), recentCrashes.takePendingReports(nowMillis));
    }

    /** Takes the next messages about standing suspicions, for a peer that may have missed the updates. */
    List<CrashMessage> takeRefreshes() {
        return CrashMessage.split(gateway.options().name(), parts.nextRefreshes(gateway.nowMillis()), List.of());
    }

    /** Suspects the runs of this gateway that ended at a server before a peer saw it crash. */
    private void addEndedRuns(int instanceHash) {
        for (EndedRuns.Ended ended : endedRuns.takeCrashed(instanceId -> instanceId.hashCode() == instanceHash)) {
            recordCrash(ended.run(), !ended.completed(), ended.instanceId());
            suspicionListener.run();
        }
    }

    /** Quarantines what the platform's store lists as quarantined. */
    void quarantinedInStore(List<MetadataStore.Quarantined> stored) {
        for (MetadataStore.Quarantined item : stored) {
            switch (item.suspect()) {
                case RequestFingerprint request -> {
                    if (requests.restore(request, item.doubtful(), gateway.nowMillis())) {
                        logRequestHeld(request, "listed in the store");
                    }
                }
                case PartId part -> parts.restore(part, item.doubtful(), gateway.nowMillis());
            }
        }
        announceCulprits("listed in the store", false);
    }

    /** Returns what is quarantined; without parts of which one is at fault, but it isn't known which. */
    List<CrashSuspect> quarantined() {
        List<CrashSuspect> suspects = new ArrayList<>(requests.quarantined(gateway.nowMillis()));
        suspects.addAll(parts.quarantined(gateway.nowMillis()));
        return suspects;
    }

    boolean quarantines(CrashSuspect suspect) {
        return quarantined().contains(suspect);
    }

    // ---- what follows

    private void requestQuarantined(RequestFingerprint request, String reason, boolean seenHere) {
        logRequestHeld(request, reason);
        storeListener.ifPresent(store -> store.quarantined(request, seenHere));
    }

    /** Logs culprits that are new, and has the store keep those that are known for sure, and no others. */
    private void announceCulprits(String reason, boolean seenHere) {
        List<PartQuarantine.Culprit> culprits = parts.culprits();
        Set<Set<PartId>> dismissed = new HashSet<>(knownCulprits);
        culprits.forEach(culprit -> dismissed.remove(culprit.parts()));
        knownCulprits.removeAll(dismissed);
        for (Set<PartId> found : dismissed) {
            logCleared(LogField.PART, joined(found), gateway.options().name(), reason);
            if (found.size() == 1) {
                storeListener.ifPresent(store -> store.released(found.iterator().next(), false));
            }
        }
        for (PartQuarantine.Culprit culprit : culprits) {
            if (knownCulprits.add(culprit.parts())) {
                logPartsHeld(culprit.parts(), culprit.crashCount(), reason);
                store(culprit, seenHere);
            }
        }
    }

    private void store(PartQuarantine.Culprit culprit, boolean seenHere) {
        boolean readFromStore = culprit.crashCount() == 0;
        if (!readFromStore) {
            culprit.single().ifPresent(part -> storeListener.ifPresent(store -> store.quarantined(part, seenHere)));
        }
    }

    private void logRequestHeld(RequestFingerprint request, String reason) {
        gateway.count("request_held");
        LogLine.failure(LogEvent.REQUEST_HELD)
                .with(LogField.FINGERPRINT, request.toString())
                .with(LogField.WHY, reason)
                .write();
    }

    private void logPartsHeld(Set<PartId> culprits, int crashCount, String reason) {
        gateway.count("part_held");
        LogLine.failure(LogEvent.PART_HELD)
                .with(LogField.PART, joined(culprits))
                .with(LogField.COUNT, crashCount)
                .with(LogField.WHY, reason)
                .write();
    }

    private void logCleared(LogField field, String suspect, String source, String reason) {
        gateway.count("suspicion_cleared");
        LogLine.of(LogEvent.SUSPICION_CLEARED)
                .with(field, suspect)
                .with(LogField.SERVER, source)
                .with(LogField.WHY, reason)
                .write();
    }

    private static String joined(Set<PartId> ids) {
        return ids.stream().map(PartId::toString).sorted().collect(Collectors.joining(","));
    }
}
