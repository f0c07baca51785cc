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
import org.tanagerhinge.standin.load.LoadGenerator;

/** Runs one scenario once against one kind of cluster and measures it. */
final class Experiment {
    private static final Logger LOG = System.getLogger(Experiment.class.getName());

    private final Scenario scenario;
    private final LocalCluster.Kind kind;
    private final Duration duration;
    private final long seed;

    Experiment(Scenario scenario, LocalCluster.Kind kind, Duration duration, long seed) {
        this.scenario = scenario;
        this.kind = kind;
        this.duration = duration;
        this.seed = seed;
    }

    Measurement run() throws TanagerhingeException {
        ScheduledExecutorService faultExecutor = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("faults").daemon().factory());
        HttpClient client = HttpClients.started("load");
        try (LocalCluster cluster = LocalCluster.create(kind)) {
            populateCluster(cluster);
            try (LoadGenerator load = LoadGenerator.of(client, cluster.routerUrls(), scenario.classes(), seed)) {
                scenario.faults().forEach(fault -> schedule(faultExecutor, cluster, fault));
                load.run(duration);
                load.audit(cluster.runs());
                return new Measurement(
                        load.tallies(), cluster.tokens(), duration.toNanos() / 1e9, cluster.violations());
            }
        } finally {
            faultExecutor.shutdownNow();
            stopClient(client);
        }
    }

    private static void stopClient(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            LOG.log(Level.DEBUG, "HTTP client did not stop cleanly", e);
        }
    }

    private void populateCluster(LocalCluster cluster) throws TanagerhingeException {
        List<String> domains = scenario.domains();
        cluster.profiles(scenario.profiles());
        for (int i = 0; i < scenario.engineModels().size(); i++) {
            String domain = domains.get(i % domains.size());
            cluster.engine("engine-" + i, domain, scenario.engineModels().get(i));
        }
        for (int i = 0; i < scenario.services(); i++) {
            String domain = domains.get(i % domains.size());
            cluster.service("service-" + i, domain, scenario.serviceConcurrency(), scenario.serviceMillis());
        }
        for (int i = 0; i < scenario.routers(); i++) {
            cluster.router("router-" + i, domains.get(i % domains.size()));
        }
        cluster.awaitReady();
    }

    private void schedule(ScheduledExecutorService faultExecutor, LocalCluster cluster, Scenario.Fault fault) {
        long delayMillis = Scenario.startTime(fault, duration).toMillis();
        faultExecutor.schedule(() -> startFault(faultExecutor, cluster, fault), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void startFault(ScheduledExecutorService faultExecutor, LocalCluster cluster, Scenario.Fault fault) {
        try {
            Runnable end = inject(cluster, fault);
            faultExecutor.schedule(end, fault.duration().toMillis(), TimeUnit.MILLISECONDS);
        } catch (TanagerhingeException | RuntimeException e) {
            LOG.log(Level.ERROR, "fault " + fault + " could not be injected; the run continues without it", e);
        }
    }

    /** Injects a fault and returns the action that ends it. */
    private Runnable inject(LocalCluster cluster, Scenario.Fault fault) throws TanagerhingeException {
        return switch (fault.kind()) {
            case SLOW -> {
                cluster.engine(fault.target()).slowdown(fault.factor());
                yield () -> cluster.engine(fault.target()).slowdown(1);
            }
            case CRASH -> {
                cluster.engine(fault.target()).crash(fault.duration().toMillis());
                yield () -> {};
            }
            case STORE_DOWN -> {
                cluster.platform().down(true);
                yield () -> cluster.platform().down(false);
            }
            case REPLACE_AGENT -> {
                int port = cluster.killAgent(fault.target());
                yield () -> restartAgent(cluster, fault.target(), port);
            }
            case REPLACE_ROUTER -> {
                int port = cluster.killRouter(fault.target());
                yield () -> restartRouter(cluster, fault.target(), port);
            }
            case LEAVE -> {
                cluster.setDesiredState(fault.target(), DesiredServerState.LEAVING);
                yield () -> restoreServing(cluster, fault.target());
            }
            case DOMAIN -> stopDomain(cluster, fault.target());
        };
    }

    private Runnable stopDomain(LocalCluster cluster, String domain) {
        List<Runnable> restarts = new ArrayList<>();
        int index = scenario.domains().indexOf(domain);
        int size = scenario.domains().size();
        for (String name : cluster.serverNames()) {
            int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
            if (number % size == index) {
                int port = cluster.killAgent(name);
                restarts.add(() -> restartAgent(cluster, name, port));
            }
        }
        return () -> restarts.forEach(Runnable::run);
    }

    private static void restartAgent(LocalCluster cluster, String name, int port) {
        try {
            cluster.startAgent(name, port);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " could not be restarted", e);
        }
    }

    private void restartRouter(LocalCluster cluster, String name, int port) {
        try {
            int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
            cluster.router(
                    name, scenario.domains().get(number % scenario.domains().size()), port);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " could not be restarted", e);
        }
    }

    private static void restoreServing(LocalCluster cluster, String name) {
        try {
            cluster.setDesiredState(name, DesiredServerState.SERVING);
        } catch (TanagerhingeException e) {
            LOG.log(Level.ERROR, name + " could not be set to serving", e);
        }
    }
}
