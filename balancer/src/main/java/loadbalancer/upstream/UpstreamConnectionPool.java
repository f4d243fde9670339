package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
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
import loadbalancer.transport.MemoryBudget;

/**
 * The connections to the endpoints of one pool. Sends each request on an idle connection, or on a new one if none is
 * idle. All methods must be called on the event loop's thread; the constructors may be called on any thread.
 */
public final class UpstreamConnectionPool {
    /**
     * Sending stops this long before the drain grace period ends, as the endpoints' clocks may differ from this one.
     */
    private static final long DRAIN_MARGIN_MICROS = 50_000;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final UpstreamConnector connector;
    private final IdleConnectionEvictor evictor;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private BootSettings siteSettings;

    /** Creates a pool that connects to each endpoint at its own address; {@code clock} returns microseconds. */
    public UpstreamConnectionPool(
            EventLoop loop,
            BootSettings siteSettings,
            ConnectionBudget budget,
            MemoryBudget responseMemory,
            LongSupplier clock) {
        this(loop, siteSettings, budget, responseMemory, clock, null);
    }

    /**
     * Creates a pool.
     *
     * @param responseMemory limits the heap of the responses that are being read
     * @param clock returns microseconds
     * @param fixedAddress the address to connect to for all endpoints, or null to use their own addresses
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            BootSettings siteSettings,
            ConnectionBudget budget,
            MemoryBudget responseMemory,
            LongSupplier clock,
            UnixDomainSocketAddress fixedAddress) {
        this.loop = loop;
        this.siteSettings = siteSettings;
        this.clock = clock;
        connector = new UpstreamConnector(loop, siteSettings, budget, responseMemory, clock, fixedAddress);
        evictor = new IdleConnectionEvictor(endpoints.values(), connector);
        connector.setReclaimer(this::closeLongestIdle);
    }

    /**
     * Sets the function that is called when a connection is needed and the budget is full. It closes an unused
     * connection and returns true, or returns false if there is none. The default is {@link #closeLongestIdle}.
     */
    public void setReclaimer(BooleanSupplier reclaimer) {
        connector.setReclaimer(reclaimer);
    }

    /** Applies new settings from this call on. */
    public void reconfigure(BootSettings newSettings) {
        siteSettings = newSettings;
        connector.reconfigure(newSettings);
    }

    /**
     * Applies an update of the endpoint list. Its drain grace periods start when the balancer was notified of the
     * update, or at {@code atMicros} if that is earlier.
     */
    public void updateEndpoints(EndpointList list, long atMicros) {
        long notifiedMicros = Math.min(atMicros, list.notifiedAtMicros());
        Set<String> listedIds = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.endpoint().id();
            listedIds.add(id);
            UpstreamEndpoint endpoint = endpoints.computeIfAbsent(id, UpstreamEndpoint::new);
            endpoint.update(entry.address(), entry.endpoint().startedAt());
            if (entry.endpoint().state() == EndpointState.UP) {
                endpoint.endDrain();
            } else {
                endpoint.drainBy(drainDeadlineMicros(notifiedMicros));
            }
        }
        if (list.complete()) {
            endpoints.values().stream()
                    .filter(endpoint -> !listedIds.contains(endpoint.id()))
                    .forEach(endpoint -> endpoint.drainBy(drainDeadlineMicros(notifiedMicros)));
        }
        closeFormerOwners(list);
    }

    // An endpoint that is up at an address has taken it over from any other one that was listed there.
    private void closeFormerOwners(EndpointList list) {
        Map<InetSocketAddress, String> owners = new HashMap<>();
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.address() != null && entry.endpoint().state() == EndpointState.UP) {
                owners.put(entry.address(), entry.endpoint().id());
            }
        }
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            String owner = owners.get(endpoint.address());
            if (owner != null && !owner.equals(endpoint.id()) && endpoint.isDraining()) {
                endpoint.shutDown();
            }
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
     * @param timeoutMicros how long the caller waits for the response, which is sent to the upstream as the deadline;
     *     the caller has to abandon the call then
     * @return the call, which may have ended already
     */
    public UpstreamCall send(
            String endpointId, InboundRequest request, long timeoutMicros, UpstreamCall.Listener listener) {
        return start(endpointId, UpstreamCall.of(request, timeoutMicros, listener));
    }

    /** Probes an endpoint for its load report, or for its health only, with the connect timeout as the limit. */
    public void probe(String endpointId, boolean loadReport, UpstreamCall.Listener listener) {
        UpstreamCall call = UpstreamCall.ofProbe(RequestMessages.probe(loadReport), listener);
        call.setTimeoutTimer(loop.schedule(
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
        } else {
            idle.sendWhenProven(call);
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

    /** Closes the connection that has been idle the longest; returns false if none is idle. */
    public boolean closeLongestIdle() {
        return evictor.closeLongestIdle();
    }

    /** Closes all idle connections now, and each of the others when its call ends. */
    public void close() {
        evictor.stop();
        endpoints.values().forEach(UpstreamEndpoint::shutDown);
    }
}
