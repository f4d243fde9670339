package loadbalancer.simulator.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointList;
import loadbalancer.simulator.engine.RandomStreams;

/** Many hollow balancers on a few event loops. Not thread-safe: for the thread of the run. */
final class HollowFleet implements AutoCloseable {
    private static final EndpointList NOTHING = new EndpointList(0, true, List.of());

    private final FleetPlan plan;
    private final StandInDiscovery discovery;
    private final List<HollowBalancer> balancers = new ArrayList<>();
    private final List<Tally> tallies = new ArrayList<>();
    private NioEventLoopGroup group;
    private List<EventLoop> loops;

    HollowFleet(FleetPlan plan, StandInDiscovery discovery) {
        this.plan = plan;
        this.discovery = discovery;
        open();
    }

    private void open() {
        group = new NioEventLoopGroup(plan.fleet().loops(), new DefaultThreadFactory("hollow", true));
        loops = new ArrayList<>();
        tallies.clear();
        for (int i = 0; i < plan.fleet().loops(); i++) {
            loops.add(group.next());
            tallies.add(new Tally(discovery));
        }
    }

    int size() {
        return balancers.size();
    }

    /** Starts so many more, all at one moment. */
    void add(int many) {
        start(balancers.size(), many, List.of());
    }

    private void start(int from, int many, List<EndpointList> known) {
        List<HollowBalancer> fresh = new ArrayList<>();
        int all = Math.max(plan.fleet().balancers(), from + many) + plan.fleet().real();
        for (int i = 0; i < many; i++) {
            int rank = from + i;
            int loop = rank % loops.size();
            fresh.add(new HollowBalancer(
                    loops.get(loop),
                    plan.fleet(),
                    rank,
                    all,
                    discovery.address(),
                    new RandomStreams(plan.seed()).seed("hollow", rank),
                    i < known.size() ? known.get(i) : NOTHING,
                    tallies.get(loop)));
        }
        balancers.addAll(fresh);
        for (int i = 0; i < many; i++) {
            loops.get((from + i) % loops.size()).execute(fresh.get(i)::start);
        }
    }

    /** Ends all of them as a crash does and starts as many anew, with the lists that they had or with none. */
    void restart(boolean known) {
        int many = balancers.size();
        List<EndpointList> lists = known ? ask(HollowBalancer::held) : List.of();
        end();
        balancers.clear();
        open();
        start(0, many, lists);
    }

    private interface Question<T> {
        T of(HollowBalancer balancer);
    }

    private <T> List<T> ask(Question<T> question) {
        List<Future<T>> asked = new ArrayList<>();
        for (int i = 0; i < balancers.size(); i++) {
            HollowBalancer balancer = balancers.get(i);
            asked.add(loops.get(i % loops.size()).submit(() -> question.of(balancer)));
        }
        List<T> all = new ArrayList<>();
        asked.forEach(f -> all.add(get(f)));
        return all;
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** How many have that revision or a later one in their policy's hands. */
    int at(long rev) {
        return (int) balancers.stream().filter(b -> b.rev() >= rev).count();
    }

    /** How many upstreams each may send to. */
    List<Integer> up() {
        return ask(HollowBalancer::up);
    }

    /** Begins a new window of figures. */
    void begin() {
        for (int i = 0; i < loops.size(); i++) {
            get(loops.get(i).submit(tallies.get(i)::begin, null));
        }
    }

    /** What all have met since. */
    Tally tally() {
        Tally all = new Tally(discovery);
        for (int i = 0; i < loops.size(); i++) {
            Tally one = tallies.get(i);
            get(loops.get(i).submit(() -> {
                all.add(one);
                return null;
            }));
        }
        return all;
    }

    /** The threads that do all their work. */
    List<Long> threads() {
        List<Long> all = new ArrayList<>();
        loops.forEach(l -> all.add(get(l.submit(() -> Thread.currentThread().getId()))));
        return all;
    }

    private void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    @Override
    public void close() {
        end();
    }
}
