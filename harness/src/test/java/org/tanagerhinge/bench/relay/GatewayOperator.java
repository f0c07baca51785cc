package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.tanagerhinge.standin.relay.GatewayFixture;

/** Starts, reloads and stops a gateway at random moments, as the platform does. */
final class GatewayOperator {
    /** Exit code if SIGHUP comes before the handlers are installed; the process then ends like after SIGTERM. */
    private static final int HANGUP_BEFORE_HANDLERS = 129;

    private final GatewayFixture fixture;
    private final String name;
    private final SplittableRandom random;
    private final AnswerLedger ledger;
    private final Path settings;
    private final Path log;
    private final GatewayFixture.Ports ports;
    private int lives;
    private volatile GatewayLife life;

    private GatewayOperator(
            GatewayFixture fixture, String name, Path folder, SplittableRandom random, AnswerLedger ledger)
            throws IOException {
        this.fixture = fixture;
        this.name = name;
        this.random = random;
        this.ledger = ledger;
        settings = folder.resolve(name + ".ini");
        log = Files.createFile(folder.resolve(name + ".log"));
        ports = fixture.settings(settings, name);
    }

    /** Returns the operator of a gateway that has not started yet, and keeps its files in a folder. */
    static GatewayOperator of(
            GatewayFixture fixture, String name, Path folder, SplittableRandom random, AnswerLedger ledger)
            throws IOException {
        return new GatewayOperator(fixture, name, folder, random, ledger);
    }

    /** Returns the current life, or the last one; null before the first. */
    GatewayLife life() {
        return life;
    }

    /** Returns the address for callers. */
    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort());
    }

    /** Returns the file to which all lives write. */
    Path log() {
        return log;
    }

    /** Lets the gateway live once, with SIGTERM up to a time after it has started or is ready. */
    void live(long maxUpMillis) throws IOException, InterruptedException {
        GatewayProcess process = GatewayProcess.start(settings, log);
        GatewayLife current = GatewayLife.of(process);
        life = current;
        long started = AnswerLedger.nowMillis();
        List<Long> reloads = new ArrayList<>();
        for (int reload = random.nextInt(3); reload > 0; reload--) {
            reloads.add(started + random.nextLong(6_000));
        }
        if (random.nextInt(3) > 0) {
            fixture.awaitReady(ports);
            started = AnswerLedger.nowMillis();
        }
        long term = started + random.nextLong(maxUpMillis);
        long secondTerm = random.nextInt(3) == 0 ? term + random.nextLong(7_000) : Long.MAX_VALUE;
        while (process.alive() && AnswerLedger.nowMillis() < term + GatewayLife.GRACE_MILLIS) {
            long now = AnswerLedger.nowMillis();
            if (now >= term && !current.terminated()) {
                current.terminate(now);
            }
            if (now >= secondTerm) {
                process.signal(GatewayProcess.Signal.TERM);
                secondTerm = Long.MAX_VALUE;
            }
            if (reloads.removeIf(time -> now >= time)) {
                reload(process);
            }
            Thread.sleep(2);
        }
        if (process.alive()) {
            ledger.violation(name + ", life " + lives
                    + ": the process was killed at the end of the grace time, SIGTERM at " + current.termEpochMillis());
            process.kill();
            process.awaitEnd(GatewayLife.GRACE_MILLIS);
        } else if (!current.terminated() && process.exitCode() != HANGUP_BEFORE_HANDLERS) {
            ledger.violation(
                    name + ", life " + lives + ": the process ended by itself with code " + process.exitCode());
        }
        lives++;
    }

    /** Changes the settings or the configuration, with or without a signal. */
    private void reload(GatewayProcess process) throws IOException {
        if (random.nextBoolean()) {
            String changed = Files.readString(settings).replaceFirst("retry_slack = .*", "retry_slack = 51");
            Files.writeString(settings, changed);
        }
        if (random.nextBoolean()) {
            fixture.publish();
        }
        process.signal(GatewayProcess.Signal.HUP);
    }
}
