package loadbalancer.simulator.policies;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.simulator.engine.RandomStream;

/** The textbook policies by name. */
public final class Choosers {
    /** Names that {@link #named} takes, with d the servers sampled and a those of the accomplished set. */
    public static final List<String> NAMES =
            List.of("random", "round-robin", "jsq", "jsq-d", "sed-d", "sed", "jsq-dfds", "jsq-das");

    /** Figures of a sampling policy; {@code fastShare} is the paper's p. */
    public record Figures(int sampled, int fromAccomplished, double fastShare) {
        public Figures {
            if (sampled < 1 || fromAccomplished < 0 || fromAccomplished > sampled) {
                throw new IllegalArgumentException(
                        "d = " + sampled + ", a = " + fromAccomplished + ": 0 <= a <= d and d >= 1 wanted");
            }
        }
    }

    private Choosers() {}

    /**
     * Makes a policy.
     *
     * @throws IllegalArgumentException for a name that isn't in {@link #NAMES}
     */
    public static Chooser named(String name, Figures figures) {
        return switch (name) {
            case "random" -> (view, random) -> random.below(view.size());
            case "round-robin" -> new RoundRobin();
            case "jsq" -> new All(false);
            case "sed" -> new All(true);
            case "jsq-d" -> new Sampling(figures.sampled, false);
            case "sed-d" -> new Sampling(figures.sampled, true);
            case "jsq-dfds" -> new FastFirst(figures.fromAccomplished, figures.sampled - figures.fromAccomplished);
            case "jsq-das" -> new Accomplishment(figures);
            default -> throw new IllegalArgumentException(
                    "no policy '" + name + "'; there are " + String.join(", ", NAMES));
        };
    }

    private static final class RoundRobin implements Chooser {
        private int next;

        @Override
        public int choose(ServerView view, RandomStream random) {
            next = next >= view.size() ? 0 : next;
            return next++;
        }
    }

    /** Join the shortest queue of all, or the one of shortest expected delay; ties at random. */
    private record All(boolean delay) implements Chooser {
        @Override
        public int choose(ServerView view, RandomStream random) {
            int best = -1;
            double least = 0;
            int ties = 0;
            for (int i = 0; i < view.size(); i++) {
                double length = delay ? (view.queue(i) + 1) / view.rate(i) : view.queue(i);
                if (best < 0 || length < least) {
                    best = i;
                    least = length;
                    ties = 1;
                } else if (length == least && random.below(++ties) == 0) {
                    best = i;
                }
            }
            return best;
        }
    }

    /** Draws without replacement; the partial shuffle lives on from call to call. */
    private static final class Sample {
        private int[] urn = {};

        void fit(int size) {
            if (urn.length != size) {
                urn = IntStream.range(0, size).toArray();
            }
        }

        int draw(int from, int to, int nth, RandomStream random) {
            int i = from + nth;
            int j = i + random.below(to - i);
            int drawn = urn[j];
            urn[j] = urn[i];
            urn[i] = drawn;
            return drawn;
        }
    }

    /** JSQ(d) and SED(d): the best of d drawn uniformly. */
    private static final class Sampling implements Chooser {
        private final int sampled;
        private final boolean delay;
        private final Sample sample = new Sample();

        Sampling(int sampled, boolean delay) {
            this.sampled = sampled;
            this.delay = delay;
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            int size = view.size();
            sample.fit(size);
            int best = -1;
            double least = 0;
            for (int i = 0; i < Math.min(sampled, size); i++) {
                int drawn = sample.draw(0, size, i, random);
                double length = delay ? (view.queue(drawn) + 1) / view.rate(drawn) : view.queue(drawn);
                if (best < 0 || length < least) {
                    best = drawn;
                    least = length;
                }
            }
            return best;
        }
    }

    /** JSQ-(dF, dS), definition 1 of the paper: an idle fast one, else an idle slow one, else the shortest fast. */
    private static final class FastFirst implements Chooser {
        private final int dF;
        private final int dS;
        private int[] fast = {};
        private int[] slow = {};
        private int known = -1;
        private final Sample fastSample = new Sample();
        private final Sample slowSample = new Sample();

        FastFirst(int dF, int dS) {
            this.dF = dF;
            this.dS = dS;
        }

        @Override
        public void renumber(int[] former) {
            known = -1;
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            if (known != view.size()) {
                known = view.size();
                fast = IntStream.range(0, known).filter(view::fast).toArray();
                slow = IntStream.range(0, known).filter(i -> !view.fast(i)).toArray();
            }
            int best = shortest(fast, dF, fastSample, view, random);
            if (best >= 0 && view.queue(best) == 0) {
                return best;
            }
            int other = shortest(slow, dS, slowSample, view, random);
            return best < 0 || other >= 0 && view.queue(other) == 0 ? other : best;
        }

        private static int shortest(int[] servers, int sampled, Sample sample, ServerView view, RandomStream random) {
            sample.fit(servers.length);
            int best = -1;
            for (int i = 0; i < Math.min(sampled, servers.length); i++) {
                int drawn = servers[sample.draw(0, servers.length, i, random)];
                best = best < 0 || view.queue(drawn) < view.queue(best) ? drawn : best;
            }
            return best;
        }
    }

    /** JSQ-DAS, definition 2 of the paper: a of the accomplished, d - a of the rest, ties to the higher rank. */
    private static final class Accomplishment implements Chooser {
        private final Figures figures;
        private final Ranking ranking = new Ranking();
        private final Sample top = new Sample();
        private final Sample rest = new Sample();

        Accomplishment(Figures figures) {
            this.figures = figures;
        }

        @Override
        public void renumber(int[] former) {
            ranking.renumber(former);
        }

        @Override
        public void dispatched(int server) {
            ranking.count(server);
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            int k = view.size();
            if (ranking.size() != k) {
                ranking.renumber(IntStream.range(0, k).toArray());
            }
            int accomplished = Math.max(1, Math.min(k, (int) Math.round(figures.fastShare * k)));
            int fromTop =
                    Math.min(accomplished, Math.max(figures.fromAccomplished, figures.sampled - (k - accomplished)));
            int fromRest = Math.min(k - accomplished, figures.sampled - fromTop);
            top.fit(accomplished);
            rest.fit(k - accomplished);
            int best = -1;
            for (int i = 0; i < fromTop; i++) {
                best = better(best, ranking.at(top.draw(0, accomplished, i, random)), view);
            }
            for (int i = 0; i < fromRest; i++) {
                int place = accomplished + rest.draw(0, k - accomplished, i, random);
                best = better(best, ranking.at(place), view);
            }
            return best;
        }

        private int better(int best, int drawn, ServerView view) {
            if (best < 0) {
                return drawn;
            }
            int difference = Integer.compare(view.queue(drawn), view.queue(best));
            boolean higher = ranking.placeOf(drawn) < ranking.placeOf(best);
            return difference < 0 || difference == 0 && higher ? drawn : best;
        }
    }
}
