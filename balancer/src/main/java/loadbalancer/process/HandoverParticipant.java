package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.dispatch.UnansweredIds;
import loadbalancer.handover.HandoverDocument;
import loadbalancer.handover.HandoverFormatException;
import loadbalancer.handover.HandoverLink;
import loadbalancer.handover.HandoverMessage;
import loadbalancer.handover.HandoverState;
import loadbalancer.logs.Log;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.BootSettings;

/**
 * One process's part in a handover. A successor restores the state that its predecessor sends. While both processes
 * run, they share the descriptor limit and the slow-start budget, and an endpoint that operators drain or restore at
 * one is drained or restored at both.
 *
 * <p>Confined to the event loop's thread, except {@link #connectToPredecessor()}.
 */
final class HandoverParticipant implements HandoverLink.Listener {
    private static final long DESCRIPTOR_REPORT_INTERVAL_MILLIS = 100;
    /** Descriptors that the other process uses besides its connections, for files and listeners. */
    private static final int OTHER_DESCRIPTORS = 24;
    /** Fraction of the slow-start budget for each process while two serve. */
    private static final double SHARED_FRACTION = 0.5;

    private final EventLoop loop;
    private final HandoverLink link;
    private final BalancerPools pools;
    private final DescriptorBudget descriptors;
    private final UnansweredIds unansweredIds;
    private final Supplier<BootSettings> settings;
    private final Log log;
    private Future<?> descriptorReports; // null while no other process is connected

    /**
     * Creates a participant that is not yet connected to another process.
     *
     * @param directory the directory of the handover sockets; null for a process that takes no part in handovers
     * @param settings supplies the settings in force
     */
    HandoverParticipant(
            EventLoop loop,
            Path directory,
            BalancerPools pools,
            DescriptorBudget descriptors,
            UnansweredIds unansweredIds,
            Supplier<BootSettings> settings,
            Log log) {
        this.loop = loop;
        this.pools = pools;
        this.descriptors = descriptors;
        this.unansweredIds = unansweredIds;
        this.settings = settings;
        this.log = log;
        link = new HandoverLink(loop, directory, this, log::info);
        unansweredIds.setListener(new UnansweredIds.Listener() {
            @Override
            public void sent(long idHash) {
                link.sendToPeer(new HandoverMessage.RequestsSent(List.of(idHash)));
            }

            @Override
            public void settled(long idHash) {
                link.sendToPeer(new HandoverMessage.RequestSettled(idHash));
            }
        });
    }

    /**
     * Connects to a predecessor, and returns whether there is one. Blocks, so it must not run on the event loop's
     * thread.
     */
    boolean connectToPredecessor() {
        return link.connectToPredecessor();
    }

    /**
     * Restores the predecessor's state, if there is a predecessor that responds in time.
     *
     * @param callback receives, on the event loop's thread, whether the restored list has a usable endpoint
     */
    void restoreFromPredecessor(Consumer<Boolean> callback) {
        link.requestState(document -> {
            boolean hasEndpoints = document.isPresent() && restore(document.get());
            if (document.isPresent()) {
                pools.setSlowStartFraction(SHARED_FRACTION);
            }
            callback.accept(hasEndpoints);
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

    /** Notifies the other process that this one serves, and starts to accept a successor's connection. */
    void announceServing() {
        link.sendToPeer(new HandoverMessage.ServingNotice());
        link.acceptSuccessor();
    }

    /** Notifies the other process that an operator has drained an endpoint here. */
    void announceDrained(String endpointId) {
        link.sendToPeer(new HandoverMessage.EndpointDrained(endpointId));
    }

    /** Notifies the other process that an operator has restored an endpoint here. */
    void announceRestored(String endpointId) {
        link.sendToPeer(new HandoverMessage.EndpointRestored(endpointId));
    }

    /** Disconnects from the other process. */
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
        } else if (message instanceof HandoverMessage.RequestsSent sent) {
            sent.idHashes().forEach(unansweredIds::sentElsewhere);
        } else if (message instanceof HandoverMessage.RequestSettled settled) {
            unansweredIds.settledElsewhere(settled.idHash());
        }
    }

    @Override
    public void peerPresent(boolean present) {
        List<Long> unanswered = unansweredIds.all();
        if (present && !unanswered.isEmpty()) {
            link.sendToPeer(new HandoverMessage.RequestsSent(unanswered));
        }
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
