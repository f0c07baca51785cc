package org.tanagerhinge.bench.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.configuration2.Configuration;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.load.Caller;
import org.tanagerhinge.standin.load.LoadClass;

/** Reads scenarios from INI files on the class path; the keys are documented in {@code docs/EXPERIMENTS.md}. */
final class ScenarioReader {
    /** Names of the scenarios in the order in which they run. */
    static final List<String> NAMES =
            List.of("calm", "saturday", "midnight", "straggler", "crash", "domain", "store", "drain", "greedy");

    private static final int WORKSPACES = 10;
    private static final int LARGE_WORKSPACES = 2;
    private static final double LARGE_WEIGHT = 4;

    private ScenarioReader() {}

    static Scenario read(String name) {
        String path = "/scenarios/" + name + ".ini";
        try (InputStream in = ScenarioReader.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new IllegalArgumentException("scenario '" + name + "': expected one of " + NAMES);
            }
            INIConfiguration ini = new INIConfiguration();
            ini.read(new StringReader(new String(in.readAllBytes(), StandardCharsets.UTF_8)));
            return parseScenario(name, ini);
        } catch (IOException | ConfigurationException e) {
            throw new IllegalArgumentException("scenario '" + name + "' could not be read: " + e.getMessage(), e);
        }
    }

    private static Scenario parseScenario(String name, INIConfiguration ini) {
        Configuration setup = ini.getSection("setup");
        List<Profile> profiles = new ArrayList<>();
        List<LoadClass> classes = new ArrayList<>();
        List<Scenario.Fault> faults = new ArrayList<>();
        for (String section : ini.getSections()) {
            if (section != null && section.startsWith("class ")) {
                Configuration values = ini.getSection(section);
                String profile = section.substring("class ".length());
                profiles.add(parseProfile(profile, values));
                classes.add(parseLoadClass(profile, values));
            } else if (section != null && section.startsWith("fault ")) {
                faults.add(parseFault(ini.getSection(section)));
            }
        }
        return new Scenario(
                name,
                setup.getString("title"),
                setup.getInt("seconds", 6),
                setup.getInt("repeats", 1),
                parseEngines(ini.getSection("engine"), setup.getInt("engines")),
                setup.getInt("services"),
                setup.getInt("service_at_once", 16),
                setup.getLong("service_millis", 20),
                setup.getInt("routers", 2),
                List.of(setup.getString("domains").split(" ")),
                new ProfilesDocument(0, List.of(), profiles, createWorkspaces()),
                classes,
                faults);
    }

    private static List<EngineModel> parseEngines(Configuration values, int count) {
        EngineModel model = new EngineModel(
                values.getDouble("base_millis", 12),
                values.getDouble("per_sequence_millis", 0.6),
                values.getDouble("prefill_tokens_per_milli", 20),
                values.getInt("most_sequences", 24),
                values.getLong("kv_tokens", 60_000),
                values.getLong("prefix_tokens", 40_000),
                40,
                0.7,
                400);
        return Arrays.stream(new EngineModel[count]).map(_ -> model).toList();
    }

    private static Profile parseProfile(String name, Configuration values) {
        return new Profile(
                ProfileName.of(name),
                values.getInt("tier"),
                values.getBoolean("idempotent"),
                readMillis(values, "first_target_millis"),
                readMillis(values, "whole_target_millis"),
                readMillis(values, "between_target_millis"),
                values.getDouble("percentile", 95),
                readMillis(values, "deadline_millis"),
                values.getDouble("share"),
                values.getInt("queue_bound", 64),
                0,
                0);
    }

    private static LoadClass parseLoadClass(String name, Configuration values) {
        String target = values.getString("target", "model");
        return new LoadClass(
                name,
                target.equals("service") ? LocalCluster.SERVICE : "",
                LocalCluster.MODEL,
                parseRates(values.getString("rate")),
                createCallers(values.getString("greedy_workspace", "")),
                values.getInt("prompt_chars", 400),
                values.getInt("length_median", 1),
                values.getDouble("length_sigma", 0),
                values.getInt("length_most", 1000),
                values.getBoolean("keyed", false),
                values.getBoolean("idempotent"),
                readMillis(values, "first_target_millis"),
                readMillis(values, "whole_target_millis"),
                readMillis(values, "deadline_millis"));
    }

    /** Parses pairs of start and rate: {@code 0:10 0.3:80} is 10 per second, and 80 per second from start 0.3 on. */
    private static List<LoadClass.Rate> parseRates(String text) {
        List<LoadClass.Rate> rates = new ArrayList<>();
        for (String entry : text.split(" ")) {
            String[] parts = entry.split(":");
            rates.add(new LoadClass.Rate(
                    Duration.ofMillis((long) (Double.parseDouble(parts[0]) * 1000)), Double.parseDouble(parts[1])));
        }
        return rates;
    }

    private static Scenario.Fault parseFault(Configuration values) {
        return new Scenario.Fault(
                values.getDouble("at"),
                Scenario.Kind.valueOf(values.getString("kind").toUpperCase(Locale.ROOT)),
                values.getString("target", ""),
                values.getDouble("factor", 1),
                Duration.ofMillis(values.getLong("millis", 0)));
    }

    private static Duration readMillis(Configuration values, String key) {
        return Duration.ofMillis(values.getLong(key, 0));
    }

    private static List<Caller> createCallers(String greedyWorkspace) {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < WORKSPACES; i++) {
            String name = "workspace-" + i;
            double weight = i < LARGE_WORKSPACES ? LARGE_WEIGHT : 1;
            callers.add(new Caller(name, apiKey(name), name.equals(greedyWorkspace) ? weight * 40 : weight));
        }
        return callers;
    }

    private static List<Workspace> createWorkspaces() {
        return createCallers("").stream()
                .map(caller -> new Workspace(
                        WorkspaceId.of(caller.workspace()), List.of(KeyDigest.sha256Hex(caller.key())), 1))
                .toList();
    }

    private static String apiKey(String workspace) {
        return "sk-bench-" + workspace;
    }

    /** Returns the profile of a class. */
    static Optional<Profile> profileOf(Scenario scenario, String name) {
        return scenario.profiles().profile(ProfileName.of(name));
    }
}
