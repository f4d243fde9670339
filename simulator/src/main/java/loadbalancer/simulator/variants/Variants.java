package loadbalancer.simulator.variants;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.policies.Chooser;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.policies.ServerView;
import loadbalancer.simulator.world.GroundTruth;
import loadbalancer.simulator.world.PolicyFactory;
import loadbalancer.simulator.world.World;
import loadbalancer.simulator.world.WorldPlan;

/** The policies that worlds can be played under, by name. */
public final class Variants {
    /** The program's own policy. */
    public static final String OWN = "balance";
    /** The one that sees the true state of all upstreams. */
    public static final String ORACLE = "seer";

    private static final String LEAST_IN_FLIGHT = "least-in-flight";

    /**
     * A variant of an experiment: its name, the policy, and the figures of a sampling one.
     *
     * @param front what stands before the pools, and how this variant uses it; null: nothing, and all is one pool
     * @param calm it is played without the faults: what they cost is the difference to it
     */
    public record Variant(String name, String policy, Choosers.Figures figures, RoutingSpec.Use front, boolean calm) {
        /** A variant without a front, under all faults. */
        public Variant(String name, String policy, Choosers.Figures figures) {
            this(name, policy, figures, null, false);
        }
    }

    private Variants() {}

    /** All names that {@link #policyFactory} takes. */
    public static List<String> names() {
        List<String> names = new ArrayList<>(List.of(OWN, ORACLE, LEAST_IN_FLIGHT));
        names.addAll(Choosers.NAMES);
        return names;
    }

    /**
     * What makes a variant's policies.
     *
     * @throws IllegalArgumentException for a policy that there isn't
     */
    public static PolicyFactory policyFactory(Variant variant) {
        if (variant.policy.equals(OWN)) {
            return (settings, seed, truth) -> new JsqDasPolicy(settings, seed);
        }
        if (!names().contains(variant.policy)) {
            throw new IllegalArgumentException("no policy '" + variant.policy + "'");
        }
        return (settings, seed, truth) -> {
            RandomStream random = new RandomStreams(seed).of("policy", 0, "choice");
            Oracle oracle = new Oracle(truth, settings.zone());
            Chooser chooser = variant.policy.equals(ORACLE)
                    ? oracle
                    : Choosers.named(variant.policy.equals(LEAST_IN_FLIGHT) ? "jsq" : variant.policy, variant.figures);
            TextbookPolicy policy = new TextbookPolicy(settings, chooser, random, truth);
            oracle.observe(policy);
            return policy;
        };
    }

    /** The same for worlds of that plan, with the variant's front where it has one. */
    public static PolicyFactory policyFactory(Variant variant, WorldPlan plan) {
        PolicyFactory inner = policyFactory(variant);
        if (variant.front == null) {
            return inner;
        }
        RoutedPolicy.Names names = new RoutedPolicy.Names(
                plan.classes().stream().map(WorldPlan.RequestClassPlan::name).toList(),
                plan.tenants().stream().map(WorldPlan.Tenant::name).toList(),
                plan.kinds().stream().map(WorldPlan.Kind::pool).toList(),
                plan.classes().stream()
                        .map(WorldPlan.RequestClassPlan::priorityWeight)
                        .toList());
        return (settings, seed, truth) -> {
            RandomStreams streams = new RandomStreams(seed);
            return new RoutedPolicy(
                    variant.front,
                    settings,
                    names,
                    streams.of("front", 0, "advice"),
                    World.dayStart(),
                    pool -> inner.create(settings, streams.seed("pool " + pool, 0), truth));
        };
    }

    /** Sends to where the answer would come first, given the true state. */
    private static final class Oracle implements Chooser {
        private final GroundTruth truth;
        private final int zone;
        private TextbookPolicy policy;

        Oracle(GroundTruth truth, int zone) {
            this.truth = truth;
            this.zone = zone;
        }

        void observe(TextbookPolicy own) {
            policy = own;
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            int best = -1;
            double least = 0;
            int from = random.below(view.size());
            for (int i = 0; i < view.size(); i++) {
                int at = (from + i) % view.size();
                double time = truth.responseTimeMicros(policy.idAt(at), zone);
                if (best < 0 || time < least) {
                    best = at;
                    least = time;
                }
            }
            return best;
        }
    }
}
