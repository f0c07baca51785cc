package org.tanagerhinge.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.tanagerhinge.core.attempt.Quarantine;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Keeps a gateway's configuration and server list up to date with the platform's store.
 *
 * <p>The configuration is watched: it changes seldom, so a waiting call costs least. The servers are polled: each
 * refreshes its registration about once a second, so a watch would be answered many times as often. Only the gateway that
 * reads for all ({@link org.tanagerhinge.core.relay.PeerTable}) makes these calls; the others hear of changes from their
 * peers and ask the store themselves when their list has grown old.
 */
final class StoreFeed {
    private static final Logger LOG = System.getLogger(StoreFeed.class.getName());
    /** How often the servers are read, in milliseconds: well under the bound for servers that leave. */
    private static final int SERVERS_MILLIS = 800;
    /**
     * A list that is older than this and the time between two reports is read again also by a gateway that doesn't read
     * for all: its peers seem to fail it.
     */
    private static final long OLD_LIST_MILLIS = 1_150;
    /** How long a watch waits: a connection that has fallen silent must show within the bound of configuration. */
    private static final long WATCH_MILLIS = 1_500;
    /** Pause before the next watch after a change, so that versions in quick succession are taken in together. */
    private static final int SETTLE_MILLIS = 150;
    /** How long a call may take, in milliseconds: five times as long as one to a store that is 75 times slower than usual. */
    private static final long TIMEOUT_MILLIS = 1_500;
    /**
     * How long a call of a gateway that can serve nobody yet may take, in milliseconds: a store that returns from an outage
     * doesn't answer the calls that were made during it, and each moment until the next one is time in which callers are
     * refused. Three times what such a call takes on a host with a quarter of a core that has just started.
     */
    private static final long FIRST_TIMEOUT_MILLIS = 800;
    /** Pause after a failed call, in milliseconds. */
    private static final int FAILED_MILLIS = 250;
    /** The same of a gateway that can serve nobody yet. */
    private static final int FIRST_FAILED_MILLIS = 100;
    /** Least time between two such calls of a gateway that its peers fail: many reports may tell it of the same version. */
    private static final long CATCH_UP_MILLIS = 400;
    /** How often a gateway that doesn't read looks whether it has to, in milliseconds. */
    private static final int IDLE_MILLIS = 200;

    /** Unreadable entries of one list that are told of: a writer may leave any number. */
    private static final int MOST_UNREADABLE = 20;

    private static final Duration LEASE = Duration.ofSeconds(12);
    /** How often the lease is kept: a few may fail before it ends. */
    private static final int KEEP_MILLIS = 3_000;

    private final Gateway gateway;
    private final MetadataStore store;
    private final Peers peers;
    private long revision = -1;
    private boolean watching;
    private long lease;
    private long nextCatchUp = Long.MIN_VALUE;
    private boolean storeAnswers = true;
    private List<MetadataStore.UnreadableEntry> unreadable = List.of();

    private StoreFeed(Gateway gateway, MetadataStore store, Peers peers) {
        this.gateway = gateway;
        this.store = store;
        this.peers = peers;
    }

    /** Starts to read; returns at once. */
    static StoreFeed start(Gateway gateway, MetadataStore store, Peers peers) {
        StoreFeed feed = new StoreFeed(gateway, store, peers);
        peers.storeAnswers(() -> feed.storeAnswers);
        peers.onBehind(feed::catchUp);
        feed.step(feed::readConfig);
        feed.step(feed::join);
        feed.step(feed::readServers);
        feed.step(feed::readHeld);
        gateway.onHeld(feed::hold);
        return feed;
    }

    private long timeoutMillis() {
        return gateway.informed() ? TIMEOUT_MILLIS : FIRST_TIMEOUT_MILLIS;
    }

    private int failedMillis() {
        return gateway.informed() ? FAILED_MILLIS : FIRST_FAILED_MILLIS;
    }

    private boolean reads() {
        return peers.table().isStoreReader(storeAnswers, gateway.now());
    }

    private void servers() {
        long age = gateway.now() - gateway.directory().newestListMillis();
        boolean old = !gateway.directory().hasList() || age > OLD_LIST_MILLIS + peers.intervalMillis();
        boolean reads = reads();
        if (old && !reads && gateway.informed()) {
            catchUp();
        }
        if (old || reads) {
            readServers();
        } else {
            later(this::servers, IDLE_MILLIS);
        }
    }

    /**
     * Asks for the configuration once, since the gateway that reads for all seems to fail this one. What goes wrong without it:
     * the store turns some gateways away, that one and the next ones among them. Each finds that out only when its calls have
     * had no answer in time, one after the other, while a version is written that has to be in force before they have. Or peers
     * tell of a version and can't be asked for it.
     */
    private void catchUp() {
        long now = gateway.now();
        if (now < nextCatchUp) {
            return;
        }
        nextCatchUp = now + CATCH_UP_MILLIS;
        store.config(timeoutMillis(), reply -> {
            if (reply instanceof MetadataStore.Answer<MetadataStore.StoredConfig> answer) {
                heard();
                if (answer.value().document() != null) {
                    apply(answer.value().document());
                }
            } else {
                failedUnlessGone(reply);
            }
        });
    }

    private void readServers() {
        long asked = gateway.now();
        store.servers(timeoutMillis(), taking(this::servers, reply -> {
            if (reply instanceof MetadataStore.Answer<MetadataStore.Listing> answer) {
                heard();
                tellUnreadable(answer.value().unreadable());
                if (gateway.apply(answer.value().servers(), asked)) {
                    peers.tellNow();
                }
                boolean empty = gateway.directory().all().isEmpty();
                later(this::servers, empty ? FAILED_MILLIS : SERVERS_MILLIS);
                return;
            }
            failedUnlessGone(reply);
            later(this::servers, failedMillis());
        }));
    }

    /** Tells of each entry that can't be read once, for as long as it stays as it is. */
    private void tellUnreadable(List<MetadataStore.UnreadableEntry> entries) {
        List<MetadataStore.UnreadableEntry> some = entries.subList(0, Math.min(MOST_UNREADABLE, entries.size()));
        for (MetadataStore.UnreadableEntry entry : some) {
            if (!unreadable.contains(entry)) {
                gateway.count("entry_unreadable");
                LogLine.failure(LogEvent.ENTRY_UNREADABLE)
                        .with(LogField.KEY, entry.key())
                        .with(LogField.WHY, entry.why())
                        .write();
            }
        }
        unreadable = some;
    }

    private void config() {
        if (gateway.config().isPresent() && !reads()) {
            watching = false;
            later(this::config, IDLE_MILLIS);
        } else if (watching) {
            store.configAfter(revision, WATCH_MILLIS, taking(this::config, this::takeConfig));
        } else {
            readConfig();
        }
    }

    private void readConfig() {
        store.config(timeoutMillis(), taking(this::config, this::takeConfig));
    }

    private void takeConfig(MetadataStore.Reply<MetadataStore.StoredConfig> reply) {
        if (reply instanceof MetadataStore.Answer<MetadataStore.StoredConfig> answer) {
            heard();
            MetadataStore.StoredConfig stored = answer.value();
            revision = Math.max(revision, stored.revision());
            watching = gateway.config().isPresent() || stored.document() != null;
            if (stored.document() == null) {
                later(this::config, watching ? 1 : FAILED_MILLIS);
            } else {
                apply(stored.document());
                later(this::config, SETTLE_MILLIS);
            }
            return;
        }
        watching = false;
        if (failedUnlessGone(reply)) {
            later(this::config, failedMillis());
        } else {
            config();
        }
    }

    /**
     * Notes a failed call; returns whether it was one, and not one for history that is gone. These replies are told apart
     * by tests and not by a pattern switch, which costs a restarted gateway 10 ms before its first server list.
     */
    private boolean failedUnlessGone(MetadataStore.Reply<?> reply) {
        if (reply instanceof MetadataStore.Failure<?> failure) {
            failed(failure.why());
            return true;
        }
        return false;
    }

    private void apply(byte[] document) {
        try {
            if (gateway.apply(store.decode(document), document)) {
                peers.tellNow();
            }
        } catch (IOException e) {
            LOG.log(Level.ERROR, "configuration cannot be read, the one in force stays: " + e.getMessage());
        }
    }

    private void join() {
        store.join(gateway.options().name(), peers.address(), LEASE, taking(this::join, reply -> {
            if (reply instanceof MetadataStore.Answer<Long> answer) {
                heard();
                lease = answer.value();
                readGateways();
                later(this::keep, KEEP_MILLIS);
            } else {
                failed("could not join");
                later(this::join, FAILED_MILLIS * 2);
            }
        }));
    }

    private void keep() {
        store.keep(lease, taking(this::keep, reply -> {
            if (reply instanceof MetadataStore.Answer<Boolean> answer) {
                heard();
                if (answer.value()) {
                    if (!peers.table().anyPresent(gateway.now())) {
                        readGateways();
                    }
                    later(this::keep, KEEP_MILLIS);
                } else {
                    join();
                }
            } else {
                failed("lease could not be kept");
                later(this::keep, FAILED_MILLIS * 4);
            }
        }));
    }

    /** Requests that end servers outlast the gateways that found them: all may lose power together. */
    private void readHeld() {
        store.held(taking(this::readHeld, reply -> {
            if (reply instanceof MetadataStore.Answer<List<RequestFingerprint>> answer) {
                heard();
                answer.value().forEach(gateway::held);
            } else {
                later(this::readHeld, FAILED_MILLIS * 2);
            }
        }));
    }

    private void hold(RequestFingerprint request) {
        if (gateway.quarantine().heldMillis(request, gateway.now()).isEmpty()) {
            return;
        }
        store.hold(request, Duration.ofMillis(Quarantine.HOLD_MILLIS), reply -> {
            if (reply instanceof MetadataStore.Answer<Long>) {
                heard();
            } else {
                later(() -> hold(request), FAILED_MILLIS * 4);
            }
        });
    }

    private void readGateways() {
        store.gateways(reply -> {
            if (reply instanceof MetadataStore.Answer<List<String>> answer) {
                heard();
                peers.addresses(answer.value());
            }
        });
    }

    private void heard() {
        if (!storeAnswers) {
            storeAnswers = true;
            LogLine.of(LogEvent.STORE_BACK).write();
        }
    }

    private void failed(String why) {
        gateway.count("store_call_failed");
        if (storeAnswers) {
            storeAnswers = false;
            LogLine.failure(LogEvent.STORE_LOST).with(LogField.WHY, why).write();
            peers.tellNow();
        }
    }

    /** Returns what takes a reply of the store; if it throws, its loop goes on with a step after a pause. */
    private <T> Consumer<MetadataStore.Reply<T>> taking(Runnable step, Consumer<MetadataStore.Reply<T>> taker) {
        return reply -> {
            if (!gateway.survives(() -> taker.accept(reply))) {
                later(step, failedMillis());
            }
        };
    }

    /** Runs a step of a loop; if it throws, it is tried again after a pause. */
    private void step(Runnable task) {
        if (!gateway.survives(task)) {
            later(task, failedMillis());
        }
    }

    private void later(Runnable task, int millis) {
        gateway.schedule(() -> step(task), millis + ThreadLocalRandom.current().nextInt(millis / 5 + 1));
    }
}
