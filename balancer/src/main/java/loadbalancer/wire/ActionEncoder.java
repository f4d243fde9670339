package loadbalancer.wire;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import loadbalancer.policy.LoadBalancingPolicy;

/**
 * Writes the actions of one batch. A line that names a balancer precedes the actions of that balancer. Used for one
 * batch only; not thread-safe.
 */
final class ActionEncoder implements LoadBalancingPolicy.Actions {
    /** The nonce of a policy's timer; each policy has at most one. */
    static final String TIMER_NONCE = "wake";

    private static final String ALL_PEERS = "*";

    private final StringBuilder text = new StringBuilder();
    private String balancer;
    private String lastWrittenBalancer;

    /** Sets the balancer that the following actions are for. */
    void setBalancer(String name) {
        balancer = name;
    }

    /** Reports an unexpected exception of a policy; the adapter stops after it. */
    void fatal(RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        line("BAIL_OUT", oneLine(failure + (trace.length == 0 ? "" : " at " + trace[0])));
    }

    /** Returns the complete reply to the batch, encoded for the wire. */
    byte[] finish() {
        text.append("DONE\n");
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void line(String message, Object... values) {
        if (balancer != null && !balancer.equals(lastWrittenBalancer)) {
            text.append("ON_BEHALF\t").append(balancer).append('\n');
            lastWrittenBalancer = balancer;
        }
        text.append(message);
        for (Object value : values) {
            text.append('\t').append(value);
        }
        text.append('\n');
    }

    private static String oneLine(String text) {
        return text.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
    }

    @Override
    public void send(String request, String endpoint, long timeoutMicros) {
        line("DELIVER", request, endpoint, timeoutMicros);
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        line("REFUSE", request, retryAfterMicros);
    }

    @Override
    public void fail(String request) {
        line("ERROR", request);
    }

    @Override
    public void cancel(String request, int attempt) {
        line("UNDO_SEND", request, attempt);
    }

    @Override
    public void probe(String endpoint) {
        line("PING", endpoint);
    }

    @Override
    public void watch(boolean on) {
        line("WATCH", on ? 1 : 0);
    }

    @Override
    public void fetchList() {
        line("LIST_ALL");
    }

    @Override
    public void closeIdle(String endpoint) {
        line("CLOSE_IDLE", endpoint);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        String bytes = data.length == 0 ? Frame.ABSENT : Base64.getEncoder().encodeToString(data);
        line("BROADCAST_TO", peer < 0 ? ALL_PEERS : peer, bytes);
    }

    @Override
    public void wakeAfter(long delayMicros) {
        line("SLEEP", TIMER_NONCE, delayMicros);
    }

    @Override
    public void log(String message) {
        line("REMARK", oneLine(message));
    }
}
