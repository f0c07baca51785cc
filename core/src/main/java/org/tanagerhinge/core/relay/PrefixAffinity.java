package org.tanagerhinge.core.relay;

import java.util.List;

/**
 * Determines the preferred engines of shared prompt parts that no engine is known to have cached, by rendezvous
 * hashing.
 *
 * <p>Nodes that restart with empty cache estimates, or that see a new part at the same moment, would each choose the
 * least loaded engine, so that many engines prefill the same part. Rendezvous hashing makes all nodes choose the same
 * engine without communication, and it is the one that most likely still has the part cached. The loss of an engine
 * moves only the parts that preferred it.
 */
final class PrefixAffinity {
    /** Preferred engines per part; the second takes over while the first is overloaded. */
    private static final int PREFERRED_COUNT = 2;

    private final ServerInstance[] preferred = new ServerInstance[PREFERRED_COUNT];
    private final long[] scores = new long[PREFERRED_COUNT];

    private PrefixAffinity() {}

    /** Returns the preferred engines for a prompt's last shared part; none if the prompt has no shared part. */
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

    /** Returns the position of an engine among the preferred ones, 0 for the first; -1 if it isn't one of them. */
    int position(ServerInstance engine) {
        for (int i = 0; i < PREFERRED_COUNT; i++) {
            if (preferred[i] == engine) {
                return i;
            }
        }
        return -1;
    }

    /** Mixes the bits of a number with the finalizer of MurmurHash3. */
    private static long mixBits(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
