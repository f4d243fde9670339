package loadbalancer.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.settings.BootSettings;

/**
 * Hosts the balancers of a simulation and replies to its batches. A batch contains the events of one instant, its reply
 * the actions that the policies respond with. The adapter only translates; all decisions are the policies'. Runs on
 * one thread.
 */
public final class SimulatorWireAdapter {
    /** Creates the policy of a new balancer. */
    public interface PolicyFactory {
        /** Creates a policy with these settings, whose random numbers are derived from {@code seed}. */
        LoadBalancingPolicy create(PolicySettings settings, long seed);
    }

    private final PolicyFactory policyFactory;
    private final FrameReader frames;
    private final OutputStream out;
    private final Map<String, HostedBalancer> balancers = new HashMap<>();
    private final EndpointListDecoder lists;
    private final EventDecoder events;

    /** Reads batches from {@code in} and writes replies to {@code out}; neither is closed. */
    public SimulatorWireAdapter(PolicyFactory policyFactory, BufferedReader in, OutputStream out) {
        this.policyFactory = policyFactory;
        this.frames = new FrameReader(in);
        this.out = out;
        this.lists = new EndpointListDecoder(frames);
        this.events = new EventDecoder(lists);
    }

    /**
     * Replies to batches until the input ends, or until a policy throws an exception.
     *
     * @throws WireException if the input is malformed
     * @throws IOException if the input or the output fails
     */
    public void run() throws IOException {
        boolean running = true;
        while (running) {
            Frame frame = frames.next();
            if (frame == null) {
                return;
            }
            if (!frame.name().equals("TICK")) {
                throw frame.error("TICK", "a batch begins with it");
            }
            ActionEncoder reply = new ActionEncoder();
            running = tryReplyToBatch(frame, reply);
            out.write(reply.finish());
            out.flush();
        }
    }

    private boolean tryReplyToBatch(Frame head, ActionEncoder reply) throws IOException {
        try {
            replyToBatch(head.expect("Clock").number(1, "Clock"), reply);
            return true;
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) { // an exception of a policy is reported to the simulator, which ends the run
            reply.fatal(e);
            return false;
        }
    }

    private void replyToBatch(long now, ActionEncoder reply) throws IOException {
        String target = null; // the balancer in the last AT line
        while (true) {
            Frame frame = frames.next();
            if (frame == null) {
                throw frames.error("GO", "GO", "the input ends within a batch");
            }
            switch (frame.name()) {
                case "GO" -> {
                    frame.expect();
                    return;
                }
                case "AT" -> target = frame.expect("Balancer").text(1, "Balancer");
                case "LIST" -> lists.read(frame);
                case "ENLIST" -> start(frame, target, reply);
                case "EXIT" -> {
                    frame.expect();
                    balancers.remove(required(target, frame));
                }
                default -> event(frame, target, now, reply);
            }
        }
    }

    private void start(Frame frame, String target, ActionEncoder reply) {
        frame.text(1, "InitSeed");
        long seed = frame.number(1, "InitSeed");
        BootSettings boot = WireSettings.read(frame, 2);
        String name = required(target, frame);
        reply.setBalancer(name);
        balancers.put(name, new HostedBalancer(name, policyFactory.create(boot.policySettings(), seed), boot));
    }

    private void event(Frame frame, String target, long now, ActionEncoder reply) {
        HostedBalancer balancer = balancers.get(required(target, frame));
        if (balancer == null) {
            throw frame.error("Balancer", "no such instance is running: '" + target + "'");
        }
        reply.setBalancer(balancer.name());
        events.handle(frame, balancer, now, reply);
    }

    private static String required(String target, Frame frame) {
        if (target == null) {
            throw frame.error("Balancer", "no AT line names the instance");
        }
        return target;
    }
}
