package org.tanagerhinge.standin.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.platform.PlatformNames;

/** Simulates the platform's endpoint that accepts usage reports and checks fencing tokens. */
public final class DutyStandin implements AutoCloseable {
    /** How requests are answered. */
    public enum FaultMode {
        /** Requests are served. */
        SERVES,
        /** Requests are rejected with status 503. */
        BUSY,
        /** Requests are never answered. */
        SILENT
    }

    private static final ObjectMapper JSON = new ObjectMapper();

    private final RawServer server;
    private final List<Report> reports = new ArrayList<>();
    private long highestToken;
    private FaultMode faultMode = FaultMode.SERVES;
    private String fencedHolder = "";

    /** An accepted usage report. */
    public record Report(String holder, long token, long window, Map<String, Long> counts) {}

    private DutyStandin() {
        server = RawServer.start(0, this::handle);
    }

    /** Starts the endpoint on a free port. */
    public static DutyStandin start() {
        return new DutyStandin();
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Sets how following requests are answered. */
    public synchronized void faultMode(FaultMode newMode) {
        faultMode = newMode;
    }

    /** Rejects following reports of a holder, as if another holder had sent a higher fencing token. */
    public synchronized void fence(String holder) {
        fencedHolder = holder;
    }

    /** Returns the accepted reports, in order. */
    public synchronized List<Report> reports() {
        return List.copyOf(reports);
    }

    private void handle(RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        FaultMode mode;
        int status;
        synchronized (this) {
            mode = faultMode;
            status = mode == FaultMode.SERVES ? acceptReport(request) : 503;
        }
        if (mode == FaultMode.SILENT) {
            Thread.sleep(TimeUnit.HOURS.toMillis(1));
        }
        connection.answer(status, "Content-Type: application/json\r\n", "{}");
    }

    private int acceptReport(RawServer.Request request) throws IOException {
        if (!request.path().equals(PlatformNames.USAGE_PATH)) {
            return 404;
        }
        long token = Long.parseLong(request.header(PlatformNames.FENCING_TOKEN));
        if (token < highestToken || request.header(PlatformNames.DUTY_HOLDER).equals(fencedHolder)) {
            return 409;
        }
        highestToken = token;
        JsonNode body = JSON.readTree(request.body());
        Map<String, Long> counts = new TreeMap<>();
        body.path(PlatformNames.COUNTS)
                .properties()
                .forEach(count -> counts.put(count.getKey(), count.getValue().asLong()));
        reports.add(new Report(
                request.header(PlatformNames.DUTY_HOLDER),
                token,
                body.path(PlatformNames.WINDOW_ID).asLong(),
                counts));
        return 200;
    }

    @Override
    public void close() {
        server.close();
    }
}
