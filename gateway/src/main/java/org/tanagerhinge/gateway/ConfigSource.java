package org.tanagerhinge.gateway;

/**
 * Describes how a configuration was received.
 *
 * @param label {@code store_read}, {@code store_watch} or {@code peer}
 * @param peer name of the peer, empty for the store
 * @param ageMillis time since the first gateway received it from the store
 */
record ConfigSource(String label, String peer, long ageMillis) {
    static final ConfigSource STORE_READ = new ConfigSource("store_read", "", 0);
    static final ConfigSource STORE_WATCH = new ConfigSource("store_watch", "", 0);

    static ConfigSource peer(String name, long ageMillis) {
        return new ConfigSource("peer", name, ageMillis);
    }
}
