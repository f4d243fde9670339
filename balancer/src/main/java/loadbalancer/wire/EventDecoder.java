package loadbalancer.wire;

import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicySettings;

/** Decodes the messages for one balancer and calls its policy with them. Not thread-safe. */
final class EventDecoder {
    private static final Map<String, EndpointListKind> LIST_KINDS = Map.of(
            "Persisted", EndpointListKind.CACHED,
            "Complete", EndpointListKind.SNAPSHOT,
            "Partial", EndpointListKind.DELTA,
            "Error", EndpointListKind.UNAVAILABLE);
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "200", AttemptOutcome.OK,
            "502", AttemptOutcome.ERROR,
            "429", AttemptOutcome.FULL,
            "408", AttemptOutcome.TIMEOUT,
            "521", AttemptOutcome.CONNECT_FAILED,
            "520", AttemptOutcome.RESET,
            "444", AttemptOutcome.CANCELLED,
            "409", AttemptOutcome.NOT_SENT);
    private static final long OPTION_WORK_HINT = 1;
    private static final long OPTION_CLIENT_RETRY = 2;
    private static final long NO_WORK_HINT = -1;

    private final EndpointListDecoder lists;

    EventDecoder(EndpointListDecoder lists) {
        this.lists = lists;
    }

    /**
     * Calls the balancer's policy with one message.
     *
     * @param now the time on the balancer's clock, in microseconds
     * @throws WireException if the message is unknown or malformed
     */
    void handle(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        switch (frame.name()) {
            case "SYNC" -> endpoints(frame, balancer, now, actions);
            case "INBOUND" -> request(frame, balancer, now, actions);
            case "DUE" -> timer(frame, balancer, now, actions);
            case "RESPONSE" -> outcome(frame, balancer, now, actions);
            case "ACK_FIRST" -> streamStarted(frame, balancer, now, actions);
            case "WITHDRAWN" -> balancer.policy()
                    .clientGone(now, frame.expect("Req").text(1, "Req"), actions);
            case "PROBE_RESULT" -> probed(frame, balancer, now, actions);
            case "MAIL" -> peerMessage(frame, balancer, now, actions);
            default -> throw frame.error(frame.name(), "unknown message");
        }
    }

    private void endpoints(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("How", "SeqNo", "Buffer");
        EndpointListKind kind = frame.word(1, "How", LIST_KINDS, "unknown word");
        frame.number(2, "SeqNo", 0);
        List<Endpoint> list = kind == EndpointListKind.UNAVAILABLE ? List.of() : lists.list(frame, 3);
        balancer.policy().endpoints(now, kind, list, actions);
    }

    private static void request(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Req", "Priority", "Account", "NameKey", "Ttl", "Hint", "Options");
        PolicySettings settings = balancer.boot().policySettings();
        int tenantCount = Math.max(1, settings.tenants().size());
        long options = frame.number(7, "Options", 0);
        balancer.policy()
                .request(
                        now,
                        frame.text(1, "Req"),
                        frame.index(2, "Priority", settings.classes().size()),
                        frame.absent(3, "Account") ? 0 : frame.index(3, "Account", tenantCount),
                        frame.absent(4, "NameKey") ? null : frame.text(4, "NameKey"),
                        frame.number(5, "Ttl"),
                        (options & OPTION_WORK_HINT) == 0 ? NO_WORK_HINT : frame.number(6, "Hint", NO_WORK_HINT),
                        (options & OPTION_CLIENT_RETRY) != 0,
                        actions);
    }

    private static void timer(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Nonce");
        if (frame.text(1, "Nonce").equals(ActionEncoder.TIMER_NONCE)) {
            balancer.policy().wake(now, actions);
        }
    }

    private static void outcome(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Req", "SendNo", "Upstream", "Rc", "Lag", "Closed", "Usage");
        frame.text(3, "Upstream");
        balancer.policy()
                .outcome(
                        now,
                        frame.text(1, "Req"),
                        frame.index(2, "SendNo", Integer.MAX_VALUE),
                        attemptOutcome(frame, 4),
                        frame.number(5, "Lag"),
                        frame.flag(6, "Closed"),
                        loadReport(frame, 7, balancer),
                        actions);
    }

    private static void streamStarted(
            Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Req", "SendNo", "Upstream", "Lag");
        balancer.policy()
                .streamStarted(now, frame.text(1, "Req"), frame.index(2, "SendNo", Integer.MAX_VALUE), actions);
    }

    private static void probed(Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Upstream", "Lag", "Rc", "Usage");
        balancer.policy()
                .probed(
                        now,
                        frame.text(1, "Upstream"),
                        attemptOutcome(frame, 3),
                        frame.number(2, "Lag"),
                        loadReport(frame, 4, balancer),
                        actions);
    }

    private static void peerMessage(
            Frame frame, HostedBalancer balancer, long now, LoadBalancingPolicy.Actions actions) {
        frame.expect("Src", "Data");
        balancer.policy().peerMessage(now, frame.index(1, "Src", Integer.MAX_VALUE), frame.bytes(2, "Data"), actions);
    }

    private static AttemptOutcome attemptOutcome(Frame frame, int position) {
        return frame.word(position, "Rc", OUTCOMES, "unknown code");
    }

    private static LoadReport loadReport(Frame frame, int position, HostedBalancer balancer) {
        if (frame.absent(position, "Usage")) {
            return null;
        }
        List<String> names = balancer.boot().loadFields();
        String[] values = frame.raw(position, "Usage").split(",", -1);
        if (values.length < names.size()) {
            throw frame.error("Usage", names.size() + " values expected, " + values.length + " found");
        }
        double[] reported = LoadReportParser.unknown();
        for (int i = 0; i < names.size(); i++) {
            int slot = LoadReportParser.slot(names.get(i));
            if (slot >= 0 && !values[i].equals(Frame.ABSENT)) {
                reported[slot] = frame.decimal(values[i], "Usage");
            }
        }
        return LoadReportParser.of(reported);
    }
}
