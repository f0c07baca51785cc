package org.tanagerhinge.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * The requests of one class.
 *
 * @param profile the profile that the requests name
 * @param service the plain service that they call; empty for the model
 * @param model the model that they ask
 * @param rates requests a second, each from a moment on until the next
 * @param promptChars median length of the prompt in characters
 * @param medianLength median answer length in tokens
 * @param lengthSigma sigma of the log-normal answer length
 * @param maxLength maximum answer length in tokens
 * @param keyed whether each request carries an idempotency key, and is repeated under it while its fate is unknown
 * @param idempotent whether the profile lets a request run again
 * @param firstTarget maximum time to the first token to meet the target; zero for none
 * @param completionTarget maximum time to the complete answer to meet the target; zero for none
 * @param deadline after which the caller gives up
 */
public record LoadClass(
        String profile,
        String service,
        String model,
        List<Rate> rates,
        List<Caller> callers,
        int promptChars,
        int medianLength,
        double lengthSigma,
        int maxLength,
        boolean keyed,
        boolean idempotent,
        Duration firstTarget,
        Duration completionTarget,
        Duration deadline) {

    /** So many requests a second from a moment of the run on. */
    public record Rate(Duration from, double perSecond) {}

    public LoadClass {
        rates = List.copyOf(rates);
        callers = List.copyOf(callers);
    }

    /** Returns whether the requests call a plain service. */
    public boolean isService() {
        return !service.isEmpty();
    }

    /** Returns the rate at a moment of the run. */
    double rateAt(Duration at) {
        double rate = 0;
        for (Rate each : rates) {
            if (each.from().compareTo(at) <= 0) {
                rate = each.perSecond();
            }
        }
        return rate;
    }
}
