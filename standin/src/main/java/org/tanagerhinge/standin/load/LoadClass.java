package org.tanagerhinge.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * Load parameters of one class of requests.
 *
 * @param profile the profile that the requests name
 * @param service the plain service that they call; empty for the model
 * @param model the model that they request
 * @param rates requests per second, each from its start time until the next one
 * @param promptChars median length of the prompt in characters
 * @param medianLength median answer length in tokens
 * @param lengthSigma sigma of the log-normal answer length
 * @param maxLength maximum answer length in tokens
 * @param keyed whether each request carries an idempotency key, and is retried with it while its outcome is unknown
 * @param idempotent whether the profile allows a request to run more than once
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

    /** A rate of requests per second from a time of the run on. */
    public record Rate(Duration from, double perSecond) {}

    public LoadClass {
        rates = List.copyOf(rates);
        callers = List.copyOf(callers);
    }

    /** Returns whether the requests call a plain service. */
    public boolean isService() {
        return !service.isEmpty();
    }

    /** Returns the rate in requests per second at a time of the run. */
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
