package org.tanagerhinge.cli.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;

/** Summarizes in one sentence how a request ended and, if logged, why. */
final class RequestSummary {
    private RequestSummary() {}

    static String of(String requestId, List<LogRecord> lines) {
        Optional<LogRecord> routed = last(lines, LogEvent.ROUTED);
        StringBuilder text = new StringBuilder("Request " + requestId);
        routed.ifPresent(line -> text.append(" on route ")
                .append(line.text(LogField.ROUTE))
                .append(line.text(LogField.WORKSPACE).isEmpty() ? "" : " of " + line.text(LogField.WORKSPACE)));
        LogRecord lastLine = lines.get(lines.size() - 1);
        text.append(' ')
                .append(describeEnd(lastLine))
                .append(describeFailures(lines))
                .append('.');
        return text.toString();
    }

    private static Optional<LogRecord> last(List<LogRecord> lines, LogEvent event) {
        return lines.stream().filter(line -> line.event().equals(event.label())).reduce((first, second) -> second);
    }

    private static String describeEnd(LogRecord end) {
        String after = " after " + end.number(LogField.MS) + " ms";
        String event = end.event();
        if (event.equals(LogEvent.REFUSED.label())) {
            return "was answered " + end.number(LogField.STATUS) + after + " (" + end.number(LogField.CODE) + ", "
                    + meaning(end.number(LogField.CODE)) + "); " + describeExecution(end) + describeReason(end);
        }
        if (event.equals(LogEvent.ENDED.label())) {
            return "got a complete response with status " + end.number(LogField.STATUS) + after
                    + (end.text(LogField.LATE).equals("true") ? describeLateness(end) : "");
        }
        if (event.equals(LogEvent.CUT.label())) {
            return "was cut off" + after + " (" + end.text(LogField.WHY) + "), after event "
                    + end.number(LogField.EVENT_ID) + " of its stream";
        }
        if (event.equals(LogEvent.CALLER_GONE.label())) {
            return "was abandoned by its caller" + after;
        }
        return "has no end in these logs; the last event is " + event
                + ": it is still in flight, or its process terminated without logging the end";
    }

    private static String describeLateness(LogRecord end) {
        return end.has(LogField.FIRST_MS)
                ? ", late: first event after " + end.number(LogField.FIRST_MS) + " ms, longest event gap "
                        + end.number(LogField.PAUSE_MS) + " ms"
                : ", late";
    }

    private static String describeExecution(LogRecord end) {
        String retry = end.number(LogField.RETRY_AFTER_MS) > 0
                ? ", the caller may retry after " + end.number(LogField.RETRY_AFTER_MS) + " ms"
                : "";
        return switch (end.text(LogField.RUN)) {
            case "not_run" -> "it did not run" + retry;
            case "complete" -> "it ran to completion";
            default -> "whether it ran is unknown";
        };
    }

    private static String describeReason(LogRecord end) {
        return end.text(LogField.WHY).isEmpty()
                ? ""
                : "; " + end.text(LogField.WHY) + ", at " + end.text(LogField.SERVER);
    }

    private static String meaning(long code) {
        return ResultCode.ofNumber((int) code).map(ResultCode::meaning).orElse("unknown code");
    }

    private static String describeFailures(List<LogRecord> lines) {
        List<String> failures = new ArrayList<>();
        for (LogRecord line : lines) {
            if (line.event().equals(LogEvent.ATTEMPT_FAILED.label())) {
                failures.add("attempt " + line.number(LogField.ATTEMPT) + " at " + line.text(LogField.SERVER)
                        + " failed after " + line.number(LogField.MS) + " ms: " + line.text(LogField.END) + ", "
                        + line.text(LogField.WHY));
            }
        }
        return failures.isEmpty() ? "" : "; " + String.join("; ", failures);
    }
}
