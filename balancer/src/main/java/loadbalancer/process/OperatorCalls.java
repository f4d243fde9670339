package loadbalancer.process;

import java.util.function.Supplier;
import loadbalancer.admin.OperatorActions;
import loadbalancer.logs.Log;

/**
 * Carries out operators' calls in this process and forwards them to the other process of a handover. Confined to the
 * event loop's thread.
 */
final class OperatorCalls implements OperatorActions {
    private final Readiness readiness;
    private final GracefulShutdown shutdown;
    private final BalancerPools pools;
    private final HandoverParticipant handover;
    private final Supplier<String> note;
    private final Log log;

    /**
     * Creates the commands of one process.
     *
     * @param note supplies a remark on a process that is ready, or null
     */
    OperatorCalls(
            Readiness readiness,
            GracefulShutdown shutdown,
            BalancerPools pools,
            HandoverParticipant handover,
            Supplier<String> note,
            Log log) {
        this.readiness = readiness;
        this.shutdown = shutdown;
        this.pools = pools;
        this.handover = handover;
        this.note = note;
        this.log = log;
    }

    @Override
    public String notReadyReason() {
        if (shutdown.isStopping()) {
            return "stopping";
        }
        return switch (readiness.state()) {
            case STARTING, WARMING_UP -> "not ready: starting";
            case AWAITING_ENDPOINTS -> "no list of upstreams yet";
            case READY -> null;
        };
    }

    @Override
    public String readinessNote() {
        return note.get();
    }

    @Override
    public boolean drain(String endpointId) {
        boolean known = pools.drain(endpointId);
        if (known) {
            handover.announceDrained(endpointId);
        }
        logCall("set-down", endpointId, known);
        return known;
    }

    @Override
    public boolean restore(String endpointId) {
        boolean known = pools.restore(endpointId);
        if (known) {
            handover.announceRestored(endpointId);
        }
        logCall("set-up", endpointId, known);
        return known;
    }

    private void logCall(String call, String endpointId, boolean known) {
        String line = call + " " + endpointId + (known ? "" : ": no such upstream");
        log.info(line, "call", call, "upstream", endpointId, "known", known);
    }
}
