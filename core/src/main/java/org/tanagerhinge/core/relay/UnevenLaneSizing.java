package org.tanagerhinge.core.relay;

import java.util.List;

/**
 * Computes how many engines of a service are reserved for short prompts, if the engines differ in speed or get slower
 * at times ({@link WorkTime}).
 *
 * <p>Both lanes first get what they need at usual speed. Of the engines that remain, the short lane gets those that its
 * streams need in slow moments. Engines that neither lane needs are divided in proportion to the needs, so that streams
 * aren't concentrated on few engines while others are idle.
 *
 * @param slots requests that an engine runs at once
 * @param tokensPerMilli prompt tokens that an engine of nominal speed prefills per millisecond
 * @param maxGapMillis longest event gap allowed
 * @param shortPrefillMillis prefill time of a short prompt on an engine of nominal speed
 * @param slowness how much slower than usual engines get at times, at least 1
 */
record UnevenLaneSizing(
        int slots, double tokensPerMilli, double maxGapMillis, double shortPrefillMillis, double slowness) {
    /**
     * Returns the number of engines in the short lane, taken from the start of the list.
     *
     * @param engines at least two
     */
    int shortLaneSize(List<ServerInstance> engines, LaneDemand demand, boolean shortMoreUrgent) {
        double longNeed = longNeed(engines, demand);
        double usualNeed = shortNeed(engines, demand, 1);
        if (Math.ceil(usualNeed) + Math.ceil(longNeed) > engines.size()) {
            return inShortage(engines.size(), usualNeed, longNeed, shortMoreUrgent);
        }
        int most = engines.size() - (int) Math.ceil(longNeed);
        int need = (int) Math.ceil(shortNeed(engines, demand, slowness));
        int spare = Math.max(0, most - need);
        return Math.min(most, need) + (int) (spare * need / (need + longNeed));
    }

    private static int inShortage(int engines, double shortNeed, double longNeed, boolean shortMoreUrgent) {
        double size = shortMoreUrgent
                ? Math.min(shortNeed, LaneSizing.MAX_URGENT_LANE_SHARE * engines)
                : engines * shortNeed / (shortNeed + longNeed);
        return (int) Math.min(engines - 1, Math.max(1, Math.ceil(size)));
    }

    /**
     * Returns how many engines from the end of the list the long prompts need, at least one; more than all if short.
     */
    private double longNeed(List<ServerInstance> engines, LaneDemand demand) {
        double needed = demand.longTokensPerSecond() / (LaneSizing.MAX_LONG_PREFILL_SHARE * tokensPerMilli * 1000);
        double capacity = 0;
        int size = 0;
        while (size < engines.size() && (size == 0 || capacity < needed)) {
            size++;
            capacity += 1 / engines.get(engines.size() - size).workTime().usual();
        }
        return size * Math.max(1, needed / capacity);
    }

    /**
     * Returns how many engines from the start of the list the short requests need if all are slower by a factor, at
     * least one; more than all if they are short.
     */
    private double shortNeed(List<ServerInstance> engines, LaneDemand demand, double slower) {
        double tokensPerSecond = 0;
        double requests = 0;
        int size = 0;
        while (size < engines.size()
                && (size == 0
                        || tokensPerSecond < demand.shortTokensPerSecond()
                        || requests < demand.shortInFlight())) {
            double factor = engines.get(size).workTime().usual() * slower;
            double share = LaneSizing.shortPrefillShare(maxGapMillis, shortPrefillMillis * factor);
            tokensPerSecond += share * tokensPerMilli * 1000 / factor;
            requests += LaneSizing.MAX_SLOT_SHARE * Math.max(1, slots) / Math.max(1, factor);
            size++;
        }
        double missing = Math.max(demand.shortTokensPerSecond() / tokensPerSecond, demand.shortInFlight() / requests);
        return size * Math.max(1, missing);
    }
}
