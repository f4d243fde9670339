package loadbalancer.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import loadbalancer.logs.Log;
import loadbalancer.router.RequestRouter;

/**
 * Counts the requests that the router rejects, by reason, and logs the count at each power of two, so that a flood of
 * rejected requests does not fill the log. Event loop only.
 */
final class RejectionCounter {
    private final Map<RequestRouter.Reason, Long> counts = new EnumMap<>(RequestRouter.Reason.class);
    private final Log log;

    RejectionCounter(Log log) {
        this.log = log;
    }

    /** Counts one rejected request. */
    void increment(RequestRouter.Reason reason) {
        long count = counts.merge(reason, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            log.event("rejected by the router, " + name + ": " + count, "rejected", name, "count", count);
        }
    }

    /** All requests rejected since the start, whatever the reason. */
    long total() {
        return counts.values().stream().mapToLong(count -> count).sum();
    }
}
