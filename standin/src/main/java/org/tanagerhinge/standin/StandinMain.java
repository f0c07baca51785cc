package org.tanagerhinge.standin;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import java.io.IOException;

/** Entry point of the stand-in processes and of commands for scripts, such as free ports and waiting. */
public final class StandinMain {
    private StandinMain() {}

    /** Runs one stand-in until the process is terminated, or one command for scripts. */
    public static void main(String[] args) throws Exception {
        CliBuilder<Object> builder = Cli.<Object>builder("standin")
                .withDescription("Stand-ins for the systems around tanagerhinge; not shipped")
                .withDefaultCommand(Help.class)
                .withCommands(
                        Help.class,
                        Platform.class,
                        Engine.class,
                        Service.class,
                        Ports.class,
                        org.tanagerhinge.standin.relay.StartupTraining.class,
                        org.tanagerhinge.standin.relay.GatewayCost.class,
                        DemoCommands.Await.class,
                        DemoCommands.Fault.class,
                        DemoCommands.DemoLoad.class,
                        DemoCommands.DemoProfiles.class);
        Object command = builder.build().parse(args);
        switch (command) {
            case Runnable runnable -> runnable.run();
            default -> throw new IllegalStateException("not a command: " + command);
        }
    }

    private static void waitForever() {
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the stand-in of the platform. */
    @Command(name = "platform", description = "Runs the platform's key-value service")
    public static final class Platform implements Runnable {
        @Option(name = "--port", description = "Port on loopback")
        private int port;

        @Override
        public void run() {
            System.out.println(PlatformStandin.start(port).url());
            waitForever();
        }
    }

    /** Runs the stand-in of a model engine. */
    @Command(name = "engine", description = "Runs a model engine")
    public static final class Engine implements Runnable {
        @Option(name = "--port", description = "Port on loopback")
        private int port;

        @Override
        public void run() {
            System.out.println(EngineStandin.start(port, EngineModel.small()).url());
            waitForever();
        }
    }

    /** Runs the stand-in of a plain service. */
    @Command(name = "service", description = "Runs a plain service")
    public static final class Service implements Runnable {
        @Option(name = "--port", description = "Port on loopback")
        private int port;

        @Option(name = "--at-once", description = "Maximum number of concurrent calls")
        private int atOnce = 16;

        @Option(name = "--millis", description = "Duration of a call in milliseconds")
        private long millis = 20;

        @Override
        public void run() {
            System.out.println(ServiceStandin.start(port, atOnce, millis).url());
            waitForever();
        }
    }

    /** Prints free loopback ports. */
    @Command(name = "ports", description = "Prints free loopback ports")
    public static final class Ports implements Runnable {
        @Option(name = "--count", description = "Number of ports")
        private int count = 1;

        @Override
        public void run() {
            try {
                for (int i = 0; i < count; i++) {
                    System.out.println(FreePorts.next());
                }
            } catch (IOException e) {
                throw new IllegalStateException("no free ports", e);
            }
        }
    }
}
