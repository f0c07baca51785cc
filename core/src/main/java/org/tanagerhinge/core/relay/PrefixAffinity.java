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
    private static final int PREFERRED_COUNT = 2;

    private final ServerInstance[] preferred = new ServerInstance[PREFERRED_COUNT];
    private final long[] scores = new long[PREFERRED_COUNT];

    private PrefixAffinity() {}

    /** Returns the homes of a prompt's last shared part among some engines; none if nothing of it is shared. */
    static PrefixAffinity of(Prompt prompt, List<ServerInstance> engines) {
        PrefixAffinity affinity = new PrefixAffinity();
        int sharedPartCount = prompt.parts().size() - 1;
        if (sharedPartCount > 0) {
            long partHash = mixBits(prompt.parts().get(sharedPartCount - 1).id().hashCode());
            for (ServerInstance engine : engines) {
                affinity.insert(engine, mixBits(partHash ^ engine.id().hashCode()));
            }
        }
        return affinity;
    }

    private void insert(ServerInstance engine, long score) {
        ServerInstance candidate = engine;
        long candidateScore = score;
        for (int i = 0; i < PREFERRED_COUNT; i++) {
            if (preferred[i] == null || candidateScore > scores[i]) {
                ServerInstance displaced = preferred[i];
                long displacedScore = scores[i];
                preferred[i] = candidate;
                scores[i] = candidateScore;
                if (displaced == null) {
                    return;
                }
                candidate = displaced;
                candidateScore = displacedScore;
            }
        }
    }

    /** Returns the place of an engine among the homes, 0 for the first; -1 if it is none. */
    int position(ServerInstance engine) {
        for (int i = 0; i < PREFERRED_COUNT; i++) {
            if (preferred[i] == engine) {
                return i;
            }
        }
        return -1;
    }

    /** Spreads a number over all longs; the finalizer of MurmurHash3. */
    private static long mixBits(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
