package loadbalancer.dispatch;

import loadbalancer.logs.Log;

/** Counts what one dispatcher has done since its start, for the log. Belongs to the event loop's thread. */
final class DispatchStatistics {
    private final Log log;
    private long requestsReceived;
    private long lastResortResponses;
    private long faults;

    DispatchStatistics(Log log) {
        this.log = log;
    }

    /** Counts a request and returns its number, from 1. */
    long countRequest() {
        return ++requestsReceived;
    }

    /** Counts a failure response that no policy asked for; logs at each power of two. */
    void countLastResort() {
        lastResortResponses++;
        if (Long.bitCount(lastResortResponses) == 1) {
            log.warn(
                    "last-resort failure responses, as the policy chose none in time: " + lastResortResponses,
                    "last_resort",
                    lastResortResponses);
        }
    }

    /** Counts and logs an event at which the policy threw. */
    void countFault(RuntimeException fault) {
        faults++;
        StackTraceElement[] trace = fault.getStackTrace();
        log.warn(
                "exception " + faults + " in a policy event: " + fault + (trace.length == 0 ? "" : " at " + trace[0]),
                "faults",
                faults);
    }

    String summary(int unanswered) {
        return requestsReceived + " requests received, " + unanswered + " unanswered, " + lastResortResponses
                + " last-resort responses, " + faults + " exceptions in policy events";
    }
}
