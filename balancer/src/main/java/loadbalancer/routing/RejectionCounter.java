package loadbalancer.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import loadbalancer.logs.Log;
import loadbalancer.router.RejectionReason;

/**
 * Counts the requests that the router rejects, by reason. Logs the count only at each power of two, so that a flood of
 * rejected requests does not fill the log. Belongs to the event loop's thread.
 */
final class RejectionCounter {
    private final Map<RejectionReason, Long> counts = new EnumMap<>(RejectionReason.class);
    private final Log log;

    RejectionCounter(Log log) {
        this.log = log;
    }

    /** Counts one rejected request. */
    void increment(RejectionReason reason) {
        long count = counts.merge(reason, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            log.info(
                    "requests rejected by the router, reason " + name + ": " + count, "rejected", name, "count", count);
        }
    }

    /** Returns the number of requests rejected since the start, for all reasons together. */
    long total() {
        return counts.values().stream().mapToLong(count -> count).sum();
    }
}
