package org.tanagerhinge.gateway;

import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/** Logs what a task of the event loop has thrown. */
final class TaskFailure {
    /** Number of stack frames in a line: enough to tell a recursion from a call. */
    private static final int LOGGED_FRAMES = 6;

    private TaskFailure() {}

    /** Writes a line; never throws, since logging may fail for the reason for which the task has failed. */
    static void log(String task, Throwable thrown) {
        try {
            LogLine.failure(LogEvent.TASK_FAILED)
                    .with(LogField.TASK, task)
                    .with(LogField.WHY, String.valueOf(thrown))
                    .with(LogField.STACK, topFrames(thrown))
                    .write();
        } catch (Throwable e) {
            // There may be no memory or stack left to log anything; the caller's next step must still be scheduled.
        }
    }

    private static String topFrames(Throwable thrown) {
        StringBuilder frames = new StringBuilder();
        StackTraceElement[] stack = thrown.getStackTrace();
        for (int i = 0; i < Math.min(LOGGED_FRAMES, stack.length); i++) {
            frames.append(i == 0 ? "" : " < ")
                    .append(stack[i].getClassName()
                            .substring(stack[i].getClassName().lastIndexOf('.') + 1))
                    .append('.')
                    .append(stack[i].getMethodName());
        }
        return frames.toString();
    }
}
