package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.Map;
import org.tanagerhinge.agent.AgentSettings;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.settings.Settings;
import org.tanagerhinge.router.RouterSettings;

/** Validates a settings file or a configuration document without applying it. */
@Command(name = "check", description = "Check a settings file (.ini) or a document (.json) and report every problem")
public final class CheckCommand extends PlatformCommand {
    @Arguments(title = "FILE", description = "The file to check")
    @Required
    private String file;

    @Option(
            name = {"--as"},
            title = "router|agent|profiles|servers",
            description = "Kind of the file; derived from its content if not given")
    private String kind;

    @Override
    void run() throws TanagerhingeException {
        String text = InputFile.readText(file);
        String resolvedKind = kind != null ? kind : guessKind(text);
        switch (resolvedKind) {
            case "router" -> Settings.load(Path.of(file), Map.of(), RouterSettings.all());
            case "agent" -> Settings.load(Path.of(file), Map.of(), AgentSettings.all());
            case "profiles" -> ConfigJson.parseProfiles(text);
            case "servers" -> ConfigJson.parseServers(text);
            default ->
                throw new CommandFailedException(
                        ExitCode.USAGE, "--as '" + resolvedKind + "': expected router, agent, profiles or servers");
        }
        out().println(file + ": ok (" + resolvedKind + ")");
    }

    private static String guessKind(String text) {
        if (text.stripLeading().startsWith("{")) {
            return text.contains("\"servers\"") ? "servers" : "profiles";
        }
        return text.contains("[agent]") ? "agent" : "router";
    }
}
