package loadbalancer.simulator.policies;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.simulator.engine.RandomStream;

/** Creates the textbook policies by name. */
public final class Choosers {
    /** Names that {@link #named} accepts; d is the number of servers sampled, a those of the accomplished set. */
    public static final List<String> NAMES =
            List.of("random", "round-robin", "jsq", "jsq-d", "sed-d", "sed", "jsq-dfds", "jsq-das");

    /** Parameters of a sampling policy: d, a (both as in the paper), and {@code fastShare}, the paper's p. */
    public record Figures(int sampled, int fromAccomplished, double fastShare) {
        public Figures {
            if (sampled < 1 || fromAccomplished < 0 || fromAccomplished > sampled) {
                throw new IllegalArgumentException("sampled is " + sampled + ", fromAccomplished is " + fromAccomplished
                        + ": expected sampled >= 1 and 0 <= fromAccomplished <= sampled");
            }
        }
    }

    private Choosers() {}

    /**
     * Creates a policy.
     *
     * @throws IllegalArgumentException if {@code name} isn't in {@link #NAMES}
     */
    public static Chooser named(String name, Figures figures) {
        return switch (name) {
            case "random" -> (view, random) -> random.below(view.size());
            case "round-robin" -> new RoundRobin();
            case "jsq" -> new FullScan(false);
            case "sed" -> new FullScan(true);
            case "jsq-d" -> new Sampling(figures.sampled, false);
            case "sed-d" -> new Sampling(figures.sampled, true);
            case "jsq-dfds" -> new FastFirst(figures.fromAccomplished, figures.sampled - figures.fromAccomplished);
            case "jsq-das" -> new Accomplishment(figures);
            default -> throw new IllegalArgumentException(
                    "unknown policy '" + name + "'; expected one of " + String.join(", ", NAMES));
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

    /** JSQ or SED over all servers: the shortest queue or the shortest expected delay. Ties are broken at random. */
    private record FullScan(boolean byExpectedDelay) implements Chooser {
        @Override
        public int choose(ServerView view, RandomStream random) {
            int best = -1;
            double lowest = 0;
            int ties = 0;
            for (int i = 0; i < view.size(); i++) {
                double score = byExpectedDelay ? (view.queue(i) + 1) / view.rate(i) : view.queue(i);
                if (best < 0 || score < lowest) {
                    best = i;
                    lowest = score;
                    ties = 1;
                } else if (score == lowest && random.below(++ties) == 0) {
                    best = i;
                }
            }
            return best;
        }
    }

    /** Draws without replacement by a partial shuffle. The shuffled array is reused by later calls. */
    private static final class Sampler {
        private int[] shuffled = {};

        void resize(int size) {
            if (shuffled.length != size) {
                shuffled = IntStream.range(0, size).toArray();
            }
        }

        int draw(int from, int to, int drawIndex, RandomStream random) {
            int i = from + drawIndex;
            int j = i + random.below(to - i);
            int drawn = shuffled[j];
            shuffled[j] = shuffled[i];
            shuffled[i] = drawn;
            return drawn;
        }
    }

    /** JSQ(d) and SED(d): the best of d servers drawn uniformly. */
    private static final class Sampling implements Chooser {
        private final int sampled;
        private final boolean byExpectedDelay;
        private final Sampler sampler = new Sampler();

        Sampling(int sampled, boolean byExpectedDelay) {
            this.sampled = sampled;
            this.byExpectedDelay = byExpectedDelay;
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            int size = view.size();
            sampler.resize(size);
            int best = -1;
            double lowest = 0;
            for (int i = 0; i < Math.min(sampled, size); i++) {
                int drawn = sampler.draw(0, size, i, random);
                double score = byExpectedDelay ? (view.queue(drawn) + 1) / view.rate(drawn) : view.queue(drawn);
                if (best < 0 || score < lowest) {
                    best = drawn;
                    lowest = score;
                }
            }
            return best;
        }
    }

    /** JSQ-(dF, dS), definition 1 of the paper: an idle fast server, else an idle slow one, else the shortest fast. */
    private static final class FastFirst implements Chooser {
        private final int dF;
        private final int dS;
        private int[] fast = {};
        private int[] slow = {};
        private int knownSize = -1;
        private final Sampler fastSampler = new Sampler();
        private final Sampler slowSampler = new Sampler();

        FastFirst(int dF, int dS) {
            this.dF = dF;
            this.dS = dS;
        }

        @Override
        public void renumber(int[] previousNumbers) {
            knownSize = -1;
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            if (knownSize != view.size()) {
                knownSize = view.size();
                fast = IntStream.range(0, knownSize).filter(view::fast).toArray();
                slow = IntStream.range(0, knownSize).filter(i -> !view.fast(i)).toArray();
            }
            int best = shortest(fast, dF, fastSampler, view, random);
            if (best >= 0 && view.queue(best) == 0) {
                return best;
            }
            int other = shortest(slow, dS, slowSampler, view, random);
            return best < 0 || other >= 0 && view.queue(other) == 0 ? other : best;
        }

        private static int shortest(int[] servers, int sampled, Sampler sampler, ServerView view, RandomStream random) {
            sampler.resize(servers.length);
            int best = -1;
            for (int i = 0; i < Math.min(sampled, servers.length); i++) {
                int drawn = servers[sampler.draw(0, servers.length, i, random)];
                best = best < 0 || view.queue(drawn) < view.queue(best) ? drawn : best;
            }
            return best;
        }
    }

    /**
     * JSQ-DAS, definition 2 of the paper: the shortest queue of a servers drawn from the accomplished set and d - a
     * drawn from the others. Ties go to the higher rank.
     */
    private static final class Accomplishment implements Chooser {
        private final Figures figures;
        private final Ranking ranking = new Ranking();
        private final Sampler accomplishedSampler = new Sampler();
        private final Sampler otherSampler = new Sampler();

        Accomplishment(Figures figures) {
            this.figures = figures;
        }

        @Override
        public void renumber(int[] previousNumbers) {
            ranking.renumber(previousNumbers);
        }

        @Override
        public void dispatched(int server) {
            ranking.increment(server);
        }

        @Override
        public int choose(ServerView view, RandomStream random) {
            int size = view.size();
            if (ranking.size() != size) {
                ranking.renumber(IntStream.range(0, size).toArray());
            }
            int accomplished = Math.max(1, Math.min(size, (int) Math.round(figures.fastShare * size)));
            int accomplishedDraws =
                    Math.min(accomplished, Math.max(figures.fromAccomplished, figures.sampled - (size - accomplished)));
            int otherDraws = Math.min(size - accomplished, figures.sampled - accomplishedDraws);
            accomplishedSampler.resize(accomplished);
            otherSampler.resize(size - accomplished);
            int best = -1;
            for (int i = 0; i < accomplishedDraws; i++) {
                best = better(best, ranking.serverAt(accomplishedSampler.draw(0, accomplished, i, random)), view);
            }
            for (int i = 0; i < otherDraws; i++) {
                int rank = accomplished + otherSampler.draw(0, size - accomplished, i, random);
                best = better(best, ranking.serverAt(rank), view);
            }
            return best;
        }

        private int better(int best, int drawn, ServerView view) {
            if (best < 0) {
                return drawn;
            }
            int difference = Integer.compare(view.queue(drawn), view.queue(best));
            boolean ranksHigher = ranking.rankOf(drawn) < ranking.rankOf(best);
            return difference < 0 || difference == 0 && ranksHigher ? drawn : best;
        }
    }
}
