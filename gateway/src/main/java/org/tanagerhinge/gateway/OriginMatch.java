package org.tanagerhinge.gateway;

import org.tanagerhinge.core.relay.StreamOrigin;

/** Result of the search for the origin of a stream that a caller resumes. */
sealed interface OriginMatch {
    /** How an origin was found. */
    enum Basis {
        /** It was recorded at this gateway, which began the stream or was told. */
        RECORDED,
        /** A peer reported it when asked. */
        ASKED,
        /** Only one software version has served lately. */
        ONLY_VERSION
    }

    /**
     * The origin was found.
     *
     * @param ageMillis time since it was recorded here; 0 if it follows from the list of servers
     */
    record Found(StreamOrigin origin, Basis basis, long ageMillis) implements OriginMatch {}

    /** No gateway that can be reached knows the origin, and several software versions may have begun the stream. */
    record Unknown() implements OriginMatch {}
}
