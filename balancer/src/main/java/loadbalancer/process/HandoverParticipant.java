package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.handover.HandoverDocument;
import loadbalancer.handover.HandoverFormatException;
import loadbalancer.handover.HandoverLink;
import loadbalancer.handover.HandoverMessage;
import loadbalancer.handover.HandoverState;
import loadbalancer.logs.Log;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.BootSettings;

/**
 * A process's part in a handover: as a successor it restores the predecessor's state, as a predecessor it gives its
 * own, and while there are two they share the descriptors and the slow-start budget, and what operators drain
 * or restore at one holds for both.
 *
 * <p>Belongs to the event loop's thread, save {@link #connectToPredecessor()}.
 */
final class HandoverParticipant implements HandoverLink.Listener {
    private static final long DESCRIPTOR_REPORT_INTERVAL_MILLIS = 100;
    /** Descriptors of a process besides its connections, for its files and listeners. */
    private static final int OTHER_DESCRIPTORS = 24;
    /** Of the slow-start budget, for each of two processes that serve. */
    private static final double SHARED_FRACTION = 0.5;

    private final EventLoop loop;
    private final HandoverLink link;
    private final BalancerPools pools;
    private final DescriptorBudget descriptors;
    private final Supplier<BootSettings> settings;
    private final Log log;
    private Future<?> descriptorReports; // null while there is no other process

    /**
     * Creates a participant that is not joined to another process yet.
     *
     * @param directory where processes find each other; null where there is no other process
     * @param settings the settings in force
     */
    HandoverParticipant(
            EventLoop loop,
            Path directory,
            BalancerPools pools,
            DescriptorBudget descriptors,
            Supplier<BootSettings> settings,
            Log log) {
        this.loop = loop;
        this.pools = pools;
        this.descriptors = descriptors;
        this.settings = settings;
        this.log = log;
        link = new HandoverLink(loop, directory, this, log::info);
    }

    /** Connects to a predecessor, and returns whether there is one. Blocks: not for the event loop's thread. */
    boolean connectToPredecessor() {
        return link.connectToPredecessor();
    }

    /**
     * Restores the predecessor's state, where there is one that answers in time.
     *
     * @param then gets, on the event loop's thread, whether the restored list has an endpoint to send to
     */
    void restoreFromPredecessor(Consumer<Boolean> then) {
        link.requestState(document -> {
            boolean hasEndpoints = document.isPresent() && restore(document.get());
            if (document.isPresent()) {
                pools.setSlowStartFraction(SHARED_FRACTION);
            }
            then.accept(hasEndpoints);
        });
    }

    private boolean restore(HandoverDocument document) {
        try {
            HandoverState site = pools.restore(document, settings.get());
            log.info("restored from the predecessor: "
                    + site.endpoints().entries().size() + " endpoints, "
                    + site.drained().size() + " administratively drained");
            return site.endpoints().entries().stream()
                    .anyMatch(entry -> entry.endpoint().state() == EndpointState.UP);
        } catch (HandoverFormatException e) {
            log.info("cannot read the predecessor's state: " + e.getMessage());
            return false;
        }
    }

    /** Tells the other process that this one serves, and lets a successor find it. */
    void announceServing() {
        link.sendToPeer(new HandoverMessage.ServingNotice());
        link.acceptSuccessor();
    }

    /** Tells the other process that an operator has drained an endpoint here. */
    void announceDrained(String endpointId) {
        link.sendToPeer(new HandoverMessage.EndpointDrained(endpointId));
    }

    /** Tells the other process that an operator has restored an endpoint here. */
    void announceRestored(String endpointId) {
        link.sendToPeer(new HandoverMessage.EndpointRestored(endpointId));
    }

    /** Parts from the other process. */
    void close() {
        link.close();
    }

    @Override
    public HandoverDocument state() {
        return pools.handoverDocument(settings.get());
    }

    @Override
    public void received(HandoverMessage message) {
        if (message instanceof HandoverMessage.EndpointDrained drained) {
            pools.drain(drained.endpointId());
        } else if (message instanceof HandoverMessage.EndpointRestored restored) {
            pools.restore(restored.endpointId());
        } else if (message instanceof HandoverMessage.DescriptorsInUse inUse) {
            descriptors.setUsedByPeer(inUse.count() + OTHER_DESCRIPTORS);
        } else if (message instanceof HandoverMessage.ServingNotice) {
            pools.setSlowStartFraction(SHARED_FRACTION);
        }
    }

    @Override
    public void peerPresent(boolean present) {
        if (present && descriptorReports == null) {
            descriptorReports = loop.scheduleWithFixedDelay(
                    () -> link.sendToPeer(new HandoverMessage.DescriptorsInUse(descriptors.openConnections())),
                    0,
                    DESCRIPTOR_REPORT_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else if (!present && descriptorReports != null) {
            descriptorReports.cancel(false);
            descriptorReports = null;
        }
        if (!present) {
            descriptors.setUsedByPeer(0);
            pools.setSlowStartFraction(1);
        }
    }
}
