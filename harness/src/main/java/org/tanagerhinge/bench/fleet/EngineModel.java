package org.tanagerhinge.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.core.relay.PromptPart;

/**
 * One model engine: requests in places and in a queue by urgency, prompts read in pieces between the tokens of the others,
 * memory of which the least recently used parts yield. Where places or memory run out, the newest of the least urgent
 * requests is preempted.
 */
final class EngineModel {
    private static final Comparator<ModelCall> URGENCY =
            Comparator.<ModelCall>comparingInt(call -> call.level).thenComparingLong(call -> call.sequence);

    final String id;
    private final EngineTerms terms;
    private final FleetModel fleet;
    private final List<ModelCall> waiting = new ArrayList<>();
    private final List<ModelCall> running = new ArrayList<>();
    /** Parts in memory, the least recently used first. */
    private final LinkedHashMap<String, Kept> memory = new LinkedHashMap<>();

    private long kept;
    private long generated;
    private double linkFreeAt;
    private boolean stepping;
    private boolean up = true;
    private int life;

    EngineModel(String id, EngineTerms terms, FleetModel fleet) {
        this.id = id;
        this.terms = terms;
        this.fleet = fleet;
    }

    private static final class Kept {
        private final int tokens;
        private int users;
        private boolean read;

        Kept(int tokens) {
            this.tokens = tokens;
        }
    }

    boolean up() {
        return up;
    }

    int busy() {
        return running.size() + waiting.size();
    }

    /** Takes a request; returns false if it is full, and has not run it. */
    boolean offer(ModelCall call, double now) {
        if (busy() >= terms.slots() + terms.queue()) {
            return false;
        }
        call.engine = this;
        call.started = false;
        call.fetchedAt = -1;
        waiting.add(call);
        waiting.sort(URGENCY);
        if (!stepping) {
            stepping = true;
            int current = life;
            fleet.at(now, () -> step(current));
        }
        return true;
    }

    /** Ends the work for a request whose caller has left or that was served. */
    void drop(ModelCall call) {
        if (waiting.remove(call)) {
            return;
        }
        if (running.remove(call)) {
            release(call);
        }
    }

    /** Loses power; what it ran is told as broken. */
    List<ModelCall> lose() {
        List<ModelCall> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        memory.clear();
        kept = 0;
        generated = 0;
        up = false;
        stepping = false;
        life++;
        return lost;
    }

    void comeBack() {
        up = true;
    }

    private void step(int ofLife) {
        if (ofLife != life) {
            return;
        }
        double now = fleet.now();
        admit();
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        List<ModelCall> generating = new ArrayList<>();
        int budget = terms.chunk();
        double pairs = 0;
        long context = 0;
        running.sort(URGENCY);
        for (ModelCall call : running) {
            if (budget > 0) {
                begin(call);
            }
            int left = call.toRead - call.read;
            context += call.started ? call.prompt.inputTokens() - left + call.generated : 0;
            if (call.started && left <= 0) {
                generating.add(call);
            } else if (call.started && budget > 0) {
                int piece = Math.min(left, budget);
                budget -= piece;
                pairs += (double) piece * (call.prompt.inputTokens() - left);
                call.read += piece;
                fleet.tokensRead += piece;
                haveRead(call, call.read - piece);
                if (call.read >= call.toRead) {
                    generating.add(call);
                }
            }
        }
        int pieces = terms.chunk() - budget;
        if (pieces == 0 && generating.isEmpty()) {
            stepping = false;
            return;
        }
        double millis = terms.stepMillis()
                + terms.slotMillis() * running.size()
                + pieces / terms.tokensPerMilli()
                + terms.contextMillis() * context / 1e3
                + terms.pairMillis() * pairs / 1e6;
        int current = life;
        fleet.at(now + millis, () -> stepped(generating, current));
    }

    private void stepped(List<ModelCall> generating, int ofLife) {
        if (ofLife != life) {
            return;
        }
        for (ModelCall call : generating) {
            if (!running.contains(call)) {
                continue;
            }
            call.generated++;
            generated++;
            boolean last = call.generated >= call.outputTokens;
            if (last || call.generated % terms.stride() == 0) {
                fleet.event(call, last);
            }
            if (last) {
                running.remove(call);
                release(call);
            }
        }
        makeRoom();
        step(life);
    }

    private void admit() {
        while (!waiting.isEmpty()) {
            ModelCall call = waiting.get(0);
            if (running.size() >= terms.slots() && !preemptFor(call)) {
                return;
            }
            long need = 0;
            for (PromptPart part : call.prompt.parts()) {
                Kept held = memory.get(part.id());
                need += held != null && held.users > 0 ? 0 : part.tokens();
            }
            if (inUse() + need > terms.memoryTokens() && !running.isEmpty()) {
                return;
            }
            waiting.remove(0);
            running.add(call);
            generated += call.generated;
            for (PromptPart part : call.prompt.parts()) {
                Kept held = memory.remove(part.id());
                if (held == null) {
                    held = new Kept(part.tokens());
                    kept += part.tokens();
                }
                held.users++;
                memory.put(part.id(), held);
            }
            evict();
        }
    }

    private long inUse() {
        long used = generated;
        for (Kept held : memory.values()) {
            used += held.users > 0 ? held.tokens : 0;
        }
        return used;
    }

    /** Finds out what is held of a prompt when its reading begins. */
    private void begin(ModelCall call) {
        if (call.started || !fetched(call)) {
            return;
        }
        call.started = true;
        int held = 0;
        for (PromptPart part : call.prompt.parts()) {
            Kept here = memory.get(part.id());
            if (here == null || !here.read) {
                break;
            }
            held += part.tokens();
        }
        call.read = 0;
        call.toRead = Math.max(1, call.prompt.inputTokens() - held) + call.generated;
    }

    /** Returns whether nothing of a request's prompt is still on its way from another engine. */
    private boolean fetched(ModelCall call) {
        if (call.placed.fetch().isEmpty()) {
            return true;
        }
        double now = fleet.now();
        if (call.fetchedAt < 0) {
            EngineModel source = fleet.engine(call.placed.fetch().get().source().id());
            int tokens = 0;
            for (PromptPart part : call.prompt.parts()) {
                if (!source.holds(part.id())) {
                    break;
                }
                Kept here = memory.get(part.id());
                if (here == null || !here.read) {
                    tokens += part.tokens();
                }
                Kept there = source.memory.remove(part.id());
                source.memory.put(part.id(), there);
                call.arriving.add(part.id());
            }
            if (tokens == 0) {
                call.fetchedAt = now;
                return true;
            }
            source.linkFreeAt =
                    Math.max(source.linkFreeAt, now) + terms.fetchSetupMillis() + tokens * terms.fetchMicros() / 1000;
            call.fetchedAt = source.linkFreeAt;
            fleet.tokensFetched += tokens;
            int current = life;
            fleet.at(call.fetchedAt, () -> {
                if (current == life && !stepping && !running.isEmpty()) {
                    stepping = true;
                    step(current);
                }
            });
        }
        if (call.fetchedAt > now) {
            return false;
        }
        for (String part : call.arriving) {
            Kept here = memory.get(part);
            if (here != null) {
                here.read = true;
            }
        }
        call.arriving.clear();
        return true;
    }

    /** Notes the parts whose reading has ended since some tokens of what is to be read were read. */
    private void haveRead(ModelCall call, int before) {
        int held = call.prompt.inputTokens() + call.generated - call.toRead;
        int end = 0;
        for (PromptPart part : call.prompt.parts()) {
            end += part.tokens();
            Kept here = memory.get(part.id());
            boolean shared = part != call.prompt.parts().getLast();
            if (end <= held) {
                if (before == 0 && shared) {
                    fleet.sharedUsed(part);
                }
            } else if (end > held + before && end <= held + call.read) {
                if (shared) {
                    fleet.sharedRead(part, this, call);
                }
                if (here != null) {
                    here.read = true;
                }
            }
        }
    }

    private void release(ModelCall call) {
        generated -= call.generated;
        for (PromptPart part : call.prompt.parts()) {
            Kept held = memory.get(part.id());
            if (held != null) {
                held.users--;
                if (!held.read && held.users == 0) {
                    memory.remove(part.id());
                    kept -= held.tokens;
                }
            }
        }
    }

    /** Returns whether a part is in memory and was read. */
    boolean holds(String part) {
        Kept held = memory.get(part);
        return held != null && held.read;
    }

    private void evict() {
        Iterator<Map.Entry<String, Kept>> oldest = memory.entrySet().iterator();
        while (kept + generated > terms.memoryTokens() && oldest.hasNext()) {
            Kept held = oldest.next().getValue();
            if (held.users == 0) {
                kept -= held.tokens;
                oldest.remove();
            }
        }
    }

    /** Frees a place for a request by preempting a less urgent one; returns whether there was one. */
    private boolean preemptFor(ModelCall call) {
        ModelCall victim = running.stream().max(URGENCY).orElseThrow();
        if (!fleet.placesPreempt() || victim.level <= call.level) {
            return false;
        }
        preempt(victim);
        waiting.add(victim);
        waiting.sort(URGENCY);
        return true;
    }

    private void preempt(ModelCall victim) {
        running.remove(victim);
        release(victim);
        victim.started = false;
        fleet.preempted++;
        if (running.stream().anyMatch(other -> other.kind.rank() > victim.kind.rank())) {
            fleet.preemptedBesideLessUrgent++;
        }
    }

    private void makeRoom() {
        evict();
        Set<ModelCall> out = new HashSet<>();
        while (kept + generated > terms.memoryTokens() && running.size() > 1) {
            ModelCall victim = running.stream().max(URGENCY).orElseThrow();
            preempt(victim);
            out.add(victim);
            evict();
        }
        waiting.addAll(out);
        waiting.sort(URGENCY);
    }
}
