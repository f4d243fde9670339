package loadbalancer.upstream;

import java.nio.charset.StandardCharsets;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.UpstreamResponse;
import loadbalancer.wire.LoadReportParser;

/** Derives the outcome of an attempt and the load report of the upstream from a response. */
final class ResponseClassifier {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private ResponseClassifier() {}

    /**
     * Returns the outcome of an attempt. Only if the upstream declares that it has declined the request is it certain
     * that the request has not run; after any other failure it may have run.
     */
    static AttemptOutcome outcome(UpstreamResponse response) {
        int status = response.status();
        if (status == OK) {
            return AttemptOutcome.OK;
        }
        boolean declined = "1".equals(response.headers().get(HeaderNames.DECLINED));
        return declined && (status == UNAVAILABLE || status == GATEWAY_TIMEOUT)
                ? AttemptOutcome.FULL
                : AttemptOutcome.ERROR;
    }

    /** Returns the load report from the headers, or null if there is no valid one. */
    static LoadReport load(UpstreamResponse response) {
        return LoadReportParser.parse(response.headers().get(HeaderNames.LOAD_REPORT));
    }

    /** Returns the load report from the headers or else from the body of a probe's response, or null. */
    static LoadReport probedLoad(UpstreamResponse response) {
        String report = response.headers().get(HeaderNames.LOAD_REPORT);
        return LoadReportParser.parse(report == null ? new String(response.body(), StandardCharsets.UTF_8) : report);
    }
}
