package org.tanagerhinge.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.tanagerhinge.core.relay.Registration;

/**
 * Keeps a gateway's configuration and server list up to date with the platform's store.
 *
 * <p>The configuration is watched: it changes seldom, so a waiting call costs least. The servers are polled: each
 * refreshes its registration about once a second, so a watch would be answered many times as often.
 */
public final class StoreFeed {
    private static final Logger LOG = System.getLogger(StoreFeed.class.getName());
    /** How often the servers are read, in milliseconds: well under the bound for servers that leave. */
    private static final int SERVERS_MILLIS = 800;
    /** How long a watch waits: a connection that has fallen silent must show within the bound of configuration. */
    private static final long WATCH_MILLIS = 1_500;
    /** Pause before the next watch after a change, so that versions in quick succession are taken in together. */
    private static final int SETTLE_MILLIS = 150;
    /** Pause after a failed call. */
    private static final int FAILED_MILLIS = 250;

    private final Gateway gateway;
    private final MetadataStore store;
    private long revision = -1;
    private boolean storeFailing;

    private StoreFeed(Gateway gateway, MetadataStore store) {
        this.gateway = gateway;
        this.store = store;
    }

    /** Starts to read; returns at once. */
    public static StoreFeed start(Gateway gateway, MetadataStore store) {
        StoreFeed feed = new StoreFeed(gateway, store);
        feed.readServers();
        feed.readConfig();
        return feed;
    }

    private void readServers() {
        long asked = gateway.now();
        store.servers(reply -> {
            switch (reply) {
                case MetadataStore.Answer<List<Registration>> answer -> {
                    heard();
                    gateway.apply(answer.value(), asked);
                    later(this::readServers, gateway.directory().all().isEmpty() ? FAILED_MILLIS : SERVERS_MILLIS);
                }
                case MetadataStore.HistoryGone<List<Registration>> gone -> later(this::readServers, FAILED_MILLIS);
                case MetadataStore.Failure<List<Registration>> failure -> {
                    failed(failure.why());
                    later(this::readServers, FAILED_MILLIS);
                }
            }
        });
    }

    private void readConfig() {
        store.config(this::takeConfig);
    }

    private void watchConfig() {
        store.configAfter(revision, WATCH_MILLIS, this::takeConfig);
    }

    private void takeConfig(MetadataStore.Reply<MetadataStore.StoredConfig> reply) {
        switch (reply) {
            case MetadataStore.Answer<MetadataStore.StoredConfig> answer -> {
                heard();
                MetadataStore.StoredConfig stored = answer.value();
                revision = Math.max(revision, stored.revision());
                if (stored.config() != null) {
                    gateway.apply(stored.config());
                    later(this::watchConfig, SETTLE_MILLIS);
                } else if (gateway.config().isEmpty()) {
                    later(this::readConfig, FAILED_MILLIS);
                } else {
                    watchConfig();
                }
            }
            case MetadataStore.HistoryGone<MetadataStore.StoredConfig> gone -> readConfig();
            case MetadataStore.Failure<MetadataStore.StoredConfig> failure -> {
                failed(failure.why());
                later(this::readConfig, FAILED_MILLIS);
            }
        }
    }

    private void heard() {
        if (storeFailing) {
            storeFailing = false;
            LOG.log(Level.INFO, "platform's store answers again");
        }
    }

    private void failed(String why) {
        gateway.count("store_call_failed");
        if (!storeFailing) {
            storeFailing = true;
            LOG.log(Level.WARNING, "platform's store: " + why);
        }
    }

    private void later(Runnable task, int millis) {
        gateway.schedule(task, millis + ThreadLocalRandom.current().nextInt(millis / 5 + 1));
    }
}
