package org.tanagerhinge.core.relay;

import java.util.List;

/**
 * Where shared parts of prompts belong that no engine is known to hold: rendezvous hashing over the engines.
 *
 * <p>Answers nodes that start without memory of what engines hold, all at once after a loss of power, and parts that several
 * nodes meet for the first time at the same moment: each would choose the engine that has least to do, so that many engines
 * read the same part. All nodes choose the same engine here without asking each other, the one that most likely still holds
 * the part, and the loss of an engine moves only the parts that belonged to it.
 */
final class PrefixAffinity {
    /** Engines that a part belongs to: the second takes it while the first has too much to do. */
    private static final int HOMES = 2;

    private final ServerInstance[] homes = new ServerInstance[HOMES];
    private final long[] scores = new long[HOMES];

    private PrefixAffinity() {}

    /** Returns the homes of a prompt's last shared part among some engines; none if nothing of it is shared. */
    static PrefixAffinity of(Prompt prompt, List<ServerInstance> engines) {
        PrefixAffinity found = new PrefixAffinity();
        int shared = prompt.parts().size() - 1;
        if (shared > 0) {
            long part = mix(prompt.parts().get(shared - 1).id().hashCode());
            for (ServerInstance engine : engines) {
                found.offer(engine, mix(part ^ engine.id().hashCode()));
            }
        }
        return found;
    }

    private void offer(ServerInstance engine, long score) {
        ServerInstance candidate = engine;
        long candidateScore = score;
        for (int i = 0; i < HOMES; i++) {
            if (homes[i] == null || candidateScore > scores[i]) {
                ServerInstance next = homes[i];
                long nextScore = scores[i];
                homes[i] = candidate;
                scores[i] = candidateScore;
                if (next == null) {
                    return;
                }
                candidate = next;
                candidateScore = nextScore;
            }
        }
    }

    /** Returns the place of an engine among the homes, 0 for the first; -1 if it is none. */
    int rank(ServerInstance engine) {
        for (int i = 0; i < HOMES; i++) {
            if (homes[i] == engine) {
                return i;
            }
        }
        return -1;
    }

    /** Spreads a number over all longs; the finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
