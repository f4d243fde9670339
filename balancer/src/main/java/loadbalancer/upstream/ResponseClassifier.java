package loadbalancer.upstream;

import java.nio.charset.StandardCharsets;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.UpstreamResponse;
import loadbalancer.wire.LoadReportParser;

/** Reads from a response how its attempt ended and which load its upstream reports. */
final class ResponseClassifier {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private ResponseClassifier() {}

    /** An attempt has provably not run only where the upstream says so itself; any other failure may have. */
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

    /** Returns the load report in the headers, or null. */
    static LoadReport load(UpstreamResponse response) {
        return LoadReportParser.parse(response.headers().get(HeaderNames.LOAD_REPORT));
    }

    /** Returns the load report in the headers or, failing that, in the body of a probe's response; or null. */
    static LoadReport probedLoad(UpstreamResponse response) {
        String report = response.headers().get(HeaderNames.LOAD_REPORT);
        return LoadReportParser.parse(report == null ? new String(response.body(), StandardCharsets.UTF_8) : report);
    }
}
