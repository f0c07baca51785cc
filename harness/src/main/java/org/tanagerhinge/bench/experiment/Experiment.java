package org.tanagerhinge.bench.experiment;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.standin.load.Load;

/** Runs one scenario once against one kind of system. */
final class Experiment {
    private static final Logger LOG = System.getLogger(Experiment.class.getName());

    private final Scenario scenario;
    private final LocalCluster.Kind kind;
    private final Duration length;
    private final long seed;

    Experiment(Scenario scenario, LocalCluster.Kind kind, Duration length, long seed) {
        this.scenario = scenario;
        this.kind = kind;
        this.length = length;
        this.seed = seed;
    }

    Measurement run() throws TanagerhingeException {
        ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("faults").daemon().factory());
        HttpClient client = HttpClients.started("load");
        try (LocalCluster cluster = LocalCluster.create(kind)) {
            setUp(cluster);
            try (Load load = Load.of(client, cluster.routerUrls(), scenario.classes(), seed)) {
                scenario.faults().forEach(fault -> schedule(faults, cluster, fault));
                load.run(length);
                load.audit(cluster.runs());
                return new Measurement(load.tallies(), cluster.tokens(), length.toNanos() / 1e9, cluster.violations());
            }
        } finally {
            faults.shutdownNow();
            stop(client);
        }
    }

    private static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            LOG.log(Level.DEBUG, "the client did not stop cleanly", e);
        }
    }

    private void setUp(LocalCluster cluster) throws TanagerhingeException {
        List<String> domains = scenario.domains();
        cluster.profiles(scenario.profiles());
        for (int i = 0; i < scenario.engineModels().size(); i++) {
            String domain = domains.get(i % domains.size());
            cluster.engine("engine-" + i, domain, scenario.engineModels().get(i));
        }
        for (int i = 0; i < scenario.services(); i++) {
            String domain = domains.get(i % domains.size());
            cluster.service("service-" + i, domain, scenario.serviceAtOnce(), scenario.serviceMillis());
        }
        for (int i = 0; i < scenario.routers(); i++) {
            cluster.router("router-" + i, domains.get(i % domains.size()));
        }
        cluster.awaitReady();
    }

    private void schedule(ScheduledExecutorService faults, LocalCluster cluster, Scenario.Fault fault) {
        long millis = Scenario.moment(fault, length).toMillis();
        faults.schedule(() -> begin(faults, cluster, fault), millis, TimeUnit.MILLISECONDS);
    }

    private void begin(ScheduledExecutorService faults, LocalCluster cluster, Scenario.Fault fault) {
        try {
            Runnable end = inject(cluster, fault);
            faults.schedule(end, fault.length().toMillis(), TimeUnit.MILLISECONDS);
        } catch (TanagerhingeException | RuntimeException e) {
            LOG.log(Level.ERROR, "fault " + fault + " could not be brought about", e);
        }
    }

    /** Brings a fault about, and returns what ends it. */
    private Runnable inject(LocalCluster cluster, Scenario.Fault fault) throws TanagerhingeException {
        return switch (fault.kind()) {
            case SLOW -> {
                cluster.engine(fault.target()).slowdown(fault.factor());
                yield () -> cluster.engine(fault.target()).slowdown(1);
            }
            case CRASH -> {
                cluster.engine(fault.target()).crash(fault.length().toMillis());
                yield () -> {};
            }
            case STORE_DOWN -> {
                cluster.platform().down(true);
                yield () -> cluster.platform().down(false);
            }
            case REPLACE_AGENT -> {
                int port = cluster.killAgent(fault.target());
                yield () -> startAgain(cluster, fault.target(), port);
            }
            case REPLACE_ROUTER -> {
                int port = cluster.killRouter(fault.target());
                yield () -> startRouterAgain(cluster, fault.target(), port);
            }
            case LEAVE -> {
                cluster.mark(fault.target(), DesiredServerState.LEAVING);
                yield () -> markServing(cluster, fault.target());
            }
            case DOMAIN -> domain(cluster, fault.target());
        };
    }

    private Runnable domain(LocalCluster cluster, String domain) {
        List<Runnable> ends = new ArrayList<>();
        int index = scenario.domains().indexOf(domain);
        int size = scenario.domains().size();
        for (String name : cluster.serverNames()) {
            int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
            if (number % size == index) {
                int port = cluster.killAgent(name);
                ends.add(() -> startAgain(cluster, name, port));
            }
        }
        return () -> ends.forEach(Runnable::run);
    }

    private static void startAgain(LocalCluster cluster, String name, int port) {
        try {
            cluster.startAgent(name, port);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " does not start again", e);
        }
    }

    private void startRouterAgain(LocalCluster cluster, String name, int port) {
        try {
            int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
            cluster.router(
                    name, scenario.domains().get(number % scenario.domains().size()), port);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " does not start again", e);
        }
    }

    private static void markServing(LocalCluster cluster, String name) {
        try {
            cluster.mark(name, DesiredServerState.SERVING);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " cannot be marked", e);
        }
    }
}
