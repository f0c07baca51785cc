package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.tanagerhinge.core.relay.PromptPart;

/**
 * Simulates a model engine with a priority queue, chunked prefill and a prefix cache with LRU eviction.
 *
 * <p>When slots or memory run out, it preempts the newest of the least urgent requests.
 */
final class EngineModel {
    private static final Comparator<ModelCall> URGENCY =
            Comparator.<ModelCall>comparingInt(call -> call.priorityLevel).thenComparingLong(call -> call.sequence);

    final String id;
    private final EngineParameters parameters;
    private final HostModel host;
    private final FleetModel fleet;
    private final List<ModelCall> queue = new ArrayList<>();
    private final List<ModelCall> running = new ArrayList<>();
    /** Cached prompt parts by id, least recently used first. */
    private final LinkedHashMap<String, CachedPart> cache = new LinkedHashMap<>();

    private long cachedTokens;
    private long generatedTokens;
    private double linkFreeAtMillis;
    private boolean stepping;
    private boolean up = true;
    private int instanceNumber;

    EngineModel(String id, EngineParameters parameters, HostModel host, FleetModel fleet) {
        this.id = id;
        this.parameters = parameters;
        this.host = host;
        this.fleet = fleet;
    }

    private static final class CachedPart {
        private final int tokens;
        private int users;
        private boolean prefilled;

        CachedPart(int tokens) {
            this.tokens = tokens;
        }
    }

    boolean up() {
        return up;
    }

    /** Returns how long work takes on the engine's host now, relative to nominal. */
    double workTime() {
        return host.workTime(fleet.nowMillis());
    }

    int inFlight() {
        return running.size() + queue.size();
    }

    /** Queues a request; returns false if the engine is full and did not accept it. */
    boolean offer(ModelCall call, double nowMillis) {
        if (inFlight() >= parameters.slots() + parameters.maxQueuedRequests()) {
            return false;
        }
        call.engine = this;
        call.prefillStarted = false;
        call.fetchedAtMillis = -1;
        queue.add(call);
        queue.sort(URGENCY);
        if (!stepping) {
            stepping = true;
            int currentInstance = instanceNumber;
            fleet.scheduleAt(nowMillis, () -> step(currentInstance));
        }
        return true;
    }

    /** Returns the requests of a gateway, queued or running. */
    List<ModelCall> callsOf(ModelGateway gateway) {
        return Stream.concat(running.stream(), queue.stream())
                .filter(call -> call.gateway == gateway)
                .toList();
    }

    /** Removes a request whose caller has disconnected. */
    void remove(ModelCall call) {
        if (queue.remove(call)) {
            return;
        }
        if (running.remove(call)) {
            release(call);
        }
    }

    /** Crashes the engine with an empty cache; returns the requests that were queued or running. */
    List<ModelCall> crash() {
        List<ModelCall> lostCalls = new ArrayList<>(running);
        lostCalls.addAll(queue);
        running.clear();
        queue.clear();
        cache.clear();
        cachedTokens = 0;
        generatedTokens = 0;
        up = false;
        stepping = false;
        instanceNumber++;
        return lostCalls;
    }

    void restart() {
        up = true;
    }

    private void step(int expectedInstance) {
        if (expectedInstance != instanceNumber) {
            return;
        }
        double nowMillis = fleet.nowMillis();
        admit();
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        List<ModelCall> generating = new ArrayList<>();
        int budgetTokens = parameters.maxPrefillTokensPerStep();
        double tokenPairs = 0;
        long contextTokens = 0;
        running.sort(URGENCY);
        for (ModelCall call : running) {
            if (budgetTokens > 0) {
                startPrefill(call);
            }
            int remainingTokens = call.tokensToPrefill - call.prefilledTokens;
            contextTokens +=
                    call.prefillStarted ? call.prompt.inputTokens() - remainingTokens + call.generatedTokens : 0;
            if (call.prefillStarted && remainingTokens <= 0) {
                generating.add(call);
            } else if (call.prefillStarted && budgetTokens > 0) {
                int chunkTokens = Math.min(remainingTokens, budgetTokens);
                budgetTokens -= chunkTokens;
                tokenPairs += (double) chunkTokens * (call.prompt.inputTokens() - remainingTokens);
                call.prefilledTokens += chunkTokens;
                fleet.prefilledTokens += chunkTokens;
                recordPrefill(call, call.prefilledTokens - chunkTokens);
                if (call.prefilledTokens >= call.tokensToPrefill) {
                    generating.add(call);
                }
            }
        }
        int prefillTokens = parameters.maxPrefillTokensPerStep() - budgetTokens;
        if (prefillTokens == 0 && generating.isEmpty()) {
            stepping = false;
            return;
        }
        double millis = parameters.baseStepMillis()
                + parameters.stepMillisPerRequest() * running.size()
                + prefillTokens / parameters.prefillTokensPerMilli()
                + parameters.millisPerThousandContextTokens() * contextTokens / 1e3
                + parameters.millisPerMillionTokenPairs() * tokenPairs / 1e6;
        int currentInstance = instanceNumber;
        fleet.scheduleAt(nowMillis + millis * workTime(), () -> finishStep(generating, currentInstance));
    }

    private void finishStep(List<ModelCall> generating, int expectedInstance) {
        if (expectedInstance != instanceNumber) {
            return;
        }
        for (ModelCall call : generating) {
            if (!running.contains(call)) {
                continue;
            }
            call.generatedTokens++;
            generatedTokens++;
            boolean last = call.generatedTokens >= call.outputTokens;
            if (last || call.generatedTokens % parameters.tokensPerEvent() == 0) {
                fleet.deliverEvent(call, last);
            }
            if (last) {
                running.remove(call);
                release(call);
            }
        }
        freeMemory();
        step(instanceNumber);
    }

    private void admit() {
        while (!queue.isEmpty()) {
            ModelCall call = queue.get(0);
            if (running.size() >= parameters.slots() && !preemptForSlot(call)) {
                return;
            }
            long neededTokens = 0;
            for (PromptPart part : call.prompt.parts()) {
                CachedPart cached = cache.get(part.id());
                neededTokens += cached != null && cached.users > 0 ? 0 : part.tokens();
            }
            if (pinnedTokens() + neededTokens > parameters.cacheCapacityTokens() && !running.isEmpty()) {
                return;
            }
            queue.remove(0);
            running.add(call);
            generatedTokens += call.generatedTokens;
            for (PromptPart part : call.prompt.parts()) {
                CachedPart cached = cache.remove(part.id());
                if (cached == null) {
                    cached = new CachedPart(part.tokens());
                    cachedTokens += part.tokens();
                }
                cached.users++;
                cache.put(part.id(), cached);
            }
            evict();
        }
    }

    private long pinnedTokens() {
        long tokens = generatedTokens;
        for (CachedPart cached : cache.values()) {
            tokens += cached.users > 0 ? cached.tokens : 0;
        }
        return tokens;
    }

    /** Starts the prefill of a request: determines how many tokens of its prompt are not cached. */
    private void startPrefill(ModelCall call) {
        if (call.prefillStarted || !isFetchComplete(call)) {
            return;
        }
        call.prefillStarted = true;
        int cachedPromptTokens = 0;
        for (PromptPart part : call.prompt.parts()) {
            CachedPart cached = cache.get(part.id());
            if (cached == null || !cached.prefilled) {
                break;
            }
            cachedPromptTokens += part.tokens();
        }
        call.prefilledTokens = 0;
        call.tokensToPrefill = Math.max(1, call.prompt.inputTokens() - cachedPromptTokens) + call.generatedTokens;
    }

    /** Returns whether the prefix fetch of a request is complete; starts the fetch on the first call. */
    private boolean isFetchComplete(ModelCall call) {
        if (call.decision.fetch().isEmpty()) {
            return true;
        }
        double nowMillis = fleet.nowMillis();
        if (call.fetchedAtMillis < 0) {
            EngineModel source =
                    fleet.engine(call.decision.fetch().get().source().id());
            int tokens = 0;
            for (PromptPart part : call.prompt.parts()) {
                if (!source.hasCached(part.id())) {
                    break;
                }
                CachedPart cached = cache.get(part.id());
                if (cached == null || !cached.prefilled) {
                    tokens += part.tokens();
                }
                CachedPart sourcePart = source.cache.remove(part.id());
                source.cache.put(part.id(), sourcePart);
                call.fetchingParts.add(part.id());
            }
            if (tokens == 0) {
                call.fetchedAtMillis = nowMillis;
                return true;
            }
            source.linkFreeAtMillis = Math.max(source.linkFreeAtMillis, nowMillis)
                    + parameters.fetchSetupMillis()
                    + tokens * parameters.fetchMicrosPerToken() / 1000;
            call.fetchedAtMillis = source.linkFreeAtMillis;
            fleet.fetchedTokens += tokens;
            int currentInstance = instanceNumber;
            fleet.scheduleAt(call.fetchedAtMillis, () -> {
                if (currentInstance == instanceNumber && !stepping && !running.isEmpty()) {
                    stepping = true;
                    step(currentInstance);
                }
            });
        }
        if (call.fetchedAtMillis > nowMillis) {
            return false;
        }
        for (String part : call.fetchingParts) {
            CachedPart cached = cache.get(part);
            if (cached != null) {
                cached.prefilled = true;
            }
        }
        call.fetchingParts.clear();
        return true;
    }

    /** Marks the parts whose prefill was completed by the last chunk as cached. */
    private void recordPrefill(ModelCall call, int previousTokens) {
        int cachedPromptTokens = call.prompt.inputTokens() + call.generatedTokens - call.tokensToPrefill;
        int endTokens = 0;
        for (PromptPart part : call.prompt.parts()) {
            endTokens += part.tokens();
            CachedPart cached = cache.get(part.id());
            boolean shared = part != call.prompt.parts().getLast();
            if (endTokens <= cachedPromptTokens) {
                if (previousTokens == 0 && shared) {
                    fleet.recordSharedUse(part);
                }
            } else if (endTokens > cachedPromptTokens + previousTokens
                    && endTokens <= cachedPromptTokens + call.prefilledTokens) {
                if (shared) {
                    fleet.recordSharedPrefill(part, this, call);
                }
                if (cached != null) {
                    cached.prefilled = true;
                }
            }
        }
    }

    private void release(ModelCall call) {
        generatedTokens -= call.generatedTokens;
        for (PromptPart part : call.prompt.parts()) {
            CachedPart cached = cache.get(part.id());
            if (cached != null) {
                cached.users--;
                if (!cached.prefilled && cached.users == 0) {
                    cache.remove(part.id());
                    cachedTokens -= cached.tokens;
                }
            }
        }
    }

    /** Returns whether a part is cached and its prefill is complete. */
    boolean hasCached(String part) {
        CachedPart cached = cache.get(part);
        return cached != null && cached.prefilled;
    }

    private void evict() {
        Iterator<Map.Entry<String, CachedPart>> oldest = cache.entrySet().iterator();
        while (cachedTokens + generatedTokens > parameters.cacheCapacityTokens() && oldest.hasNext()) {
            CachedPart cached = oldest.next().getValue();
            if (cached.users == 0) {
                cachedTokens -= cached.tokens;
                oldest.remove();
            }
        }
    }

    /** Frees a slot for a request by preempting a less urgent one; returns whether it did. */
    private boolean preemptForSlot(ModelCall call) {
        ModelCall victim = running.stream().max(URGENCY).orElseThrow();
        if (!fleet.preemptsForSlots() || victim.priorityLevel <= call.priorityLevel) {
            return false;
        }
        preempt(victim);
        queue.add(victim);
        queue.sort(URGENCY);
        return true;
    }

    private void preempt(ModelCall victim) {
        running.remove(victim);
        release(victim);
        victim.prefillStarted = false;
        fleet.preempted++;
        if (running.stream().anyMatch(other -> other.kind.rank() > victim.kind.rank())) {
            fleet.preemptedBesideLessUrgent++;
        }
    }

    private void freeMemory() {
        evict();
        Set<ModelCall> preempted = new HashSet<>();
        while (cachedTokens + generatedTokens > parameters.cacheCapacityTokens() && running.size() > 1) {
            ModelCall victim = running.stream().max(URGENCY).orElseThrow();
            preempt(victim);
            preempted.add(victim);
            evict();
        }
        queue.addAll(preempted);
        queue.sort(URGENCY);
    }
}
