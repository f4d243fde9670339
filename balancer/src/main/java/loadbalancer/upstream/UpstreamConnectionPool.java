package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.net.UnixDomainSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import loadbalancer.discovery.EndpointList;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.InboundRequest;

/**
 * The connections to one pool's endpoints. Sends each request on an idle connection, or on a new one where none is
 * idle. All methods are for the event loop's thread; the constructors may be called from any.
 */
public final class UpstreamConnectionPool {
    /** Sending ends this long before the drain grace period does: the clock is not shared with the endpoints. */
    private static final long DRAIN_MARGIN_MICROS = 50_000;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final UpstreamConnector connector;
    private final IdleConnectionEvictor evictor;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private BootSettings siteSettings;

    /** Creates a pool that reaches each endpoint at its own address; {@code clock} gives microseconds. */
    public UpstreamConnectionPool(
            EventLoop loop, BootSettings siteSettings, ConnectionBudget budget, LongSupplier clock) {
        this(loop, siteSettings, budget, clock, null);
    }

    /**
     * Creates a pool.
     *
     * @param clock gives microseconds
     * @param fixedAddress where all endpoints are reached in place of their own addresses, or null
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            BootSettings siteSettings,
            ConnectionBudget budget,
            LongSupplier clock,
            UnixDomainSocketAddress fixedAddress) {
        this.loop = loop;
        this.siteSettings = siteSettings;
        this.clock = clock;
        connector = new UpstreamConnector(loop, siteSettings, budget, clock, fixedAddress);
        evictor = new IdleConnectionEvictor(endpoints.values(), connector);
        connector.setReclaimer(this::closeLongestIdle);
    }

    /**
     * Calls {@code reclaimer} where the budget is spent and a connection is needed: it closes one that is in no use and
     * returns true, or returns false. By default that is {@link #closeLongestIdle}.
     */
    public void setReclaimer(BooleanSupplier reclaimer) {
        connector.setReclaimer(reclaimer);
    }

    /** Takes new settings from here on. */
    public void reconfigure(BootSettings next) {
        siteSettings = next;
        connector.reconfigure(next);
    }

    /**
     * Takes a change of the list: its drains count from its notification, or from {@code atMicros} if that is earlier.
     */
    public void updateEndpoints(EndpointList list, long atMicros) {
        long notifiedMicros = Math.min(atMicros, list.notifiedAtMicros());
        Set<String> listed = new HashSet<>();
        for (EndpointList.Entry target : list.entries()) {
            String id = target.endpoint().id();
            listed.add(id);
            UpstreamEndpoint endpoint = endpoints.computeIfAbsent(id, UpstreamEndpoint::new);
            if (target.address() != null && !target.address().equals(endpoint.address())) {
                endpoint.moveTo(target.address());
            }
            if (target.endpoint().state() == EndpointState.UP) {
                endpoint.endDrain();
            } else {
                endpoint.drainBy(drainDeadlineMicros(notifiedMicros));
            }
        }
        if (list.complete()) {
            endpoints.values().stream()
                    .filter(endpoint -> !listed.contains(endpoint.id()))
                    .forEach(endpoint -> endpoint.drainBy(drainDeadlineMicros(notifiedMicros)));
        }
    }

    private long drainDeadlineMicros(long notifiedMicros) {
        long graceMicros = siteSettings.policySettings().bounds().drainGracePeriodMicros();
        return notifiedMicros + Math.max(0, graceMicros - Math.min(DRAIN_MARGIN_MICROS, graceMicros / 2));
    }

    // ---- attempts and probes

    /**
     * Sends a request.
     *
     * @param timeoutMicros how long the caller waits for the response: it is sent along, and the caller abandons the
     *     call
     * @return the call, which may have ended already
     */
    public UpstreamCall send(
            String endpointId, InboundRequest request, long timeoutMicros, UpstreamCall.Listener listener) {
        return start(endpointId, UpstreamCall.of(request, timeoutMicros, listener));
    }

    /** Asks an endpoint for its load report, or its health alone; times out after the time that a connect may take. */
    public void probe(String endpointId, boolean loadReport, UpstreamCall.Listener listener) {
        UpstreamCall call = UpstreamCall.ofProbe(RequestMessages.probe(loadReport), listener);
        call.setTimeout(loop.schedule(
                () -> {
                    boolean sent = call.abandon();
                    listener.onEnd(sent ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED, null, null);
                },
                connector.connectTimeoutMillis(),
                TimeUnit.MILLISECONDS));
        start(endpointId, call);
    }

    private UpstreamCall start(String endpointId, UpstreamCall call) {
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint == null || endpoint.address() == null || !endpoint.accepts(clock.getAsLong())) {
            call.end(AttemptOutcome.NOT_SENT, null, null);
            return call;
        }
        UpstreamConnection idle = endpoint.takeIdle();
        if (idle == null) {
            connector.connect(endpoint, call);
        } else if (idle.settlesInMicros() == 0) {
            idle.send(call);
        } else {
            idle.sendWhenSettled(call);
        }
        return call;
    }

    // ---- idle connections

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(String endpointId) {
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.closeIdle();
        }
    }

    /** Closes the connection that has been idle for longest; returns false where none is idle. */
    public boolean closeLongestIdle() {
        return evictor.closeLongestIdle();
    }

    /** Closes all idle connections, and each other one as its call ends. */
    public void close() {
        evictor.stop();
        endpoints.values().forEach(UpstreamEndpoint::shutDown);
    }
}
