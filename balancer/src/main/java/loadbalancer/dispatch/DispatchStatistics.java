package loadbalancer.dispatch;

import loadbalancer.logs.Log;

/** Counters of one dispatcher since its start, for the log. Used on the event loop's thread only. */
final class DispatchStatistics {
    private final Log log;
    private long requestsReceived;
    private long lastResortResponses;
    private long exceptions;

    DispatchStatistics(Log log) {
        this.log = log;
    }

    /** Counts a request and returns its number, starting at 1. */
    long countRequest() {
        return ++requestsReceived;
    }

    /** Counts a last-resort response, and logs the count at each power of two to keep the log short. */
    void countLastResort() {
        lastResortResponses++;
        if (Long.bitCount(lastResortResponses) == 1) {
            log.warn(
                    "last-resort failure responses, as the policy chose none in time: " + lastResortResponses,
                    "last_resort",
                    lastResortResponses);
        }
    }

    /** Counts and logs an exception that was thrown while an event was delivered to the policy. */
    void countException(RuntimeException exception) {
        exceptions++;
        StackTraceElement[] trace = exception.getStackTrace();
        log.warn(
                "exception " + exceptions + " in a policy event: " + exception
                        + (trace.length == 0 ? "" : " at " + trace[0]),
                "faults",
                exceptions);
    }

    String summary(int unanswered) {
        return requestsReceived + " requests received, " + unanswered + " unanswered, " + lastResortResponses
                + " last-resort responses, " + exceptions + " exceptions in policy events";
    }
}
