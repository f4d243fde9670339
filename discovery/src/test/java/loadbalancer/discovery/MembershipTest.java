package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** What is kept of lists and changes, within its bound. */
class MembershipTest {
    private static final int MOST = 20;

    private EndpointSubset holding;
    private Membership membership;
    private final Map<String, EndpointState> module = new LinkedHashMap<>(); // as the module knows it
    private final List<String> changes = new ArrayList<>();

    MembershipTest() {
        begin(3);
    }

    private MembershipTest begin(int rank) {
        holding = new EndpointSubset(MOST, rank);
        membership = new Membership(holding, new OperatorDrains(), () -> 0, (kind, targets) -> {
            if (targets.all()) {
                module.clear();
            }
            for (Endpoint s : targets.servers()) {
                if (s.state() == EndpointState.GONE) {
                    module.remove(s.id());
                } else {
                    module.put(s.id(), s.state());
                }
            }
        });
        holding.onChange(h -> changes.add(String.valueOf(h.summary())));
        return this;
    }

    private void told(String json) {
        EndpointList t = Lists.read(holding, json, 10_000);
        membership.listed(t.all() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA, t);
    }

    private void whole(int many) {
        told(Lists.list(1, true, 0, many, "in_service"));
    }

    private Set<String> all(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "s-" + i)
                .filter(holding::holds)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void aListThatFitsIsHeldWholeAndNothingIsSaid() {
        whole(MOST);
        assertEquals(MOST, module.size());
        assertTrue(changes.isEmpty());
        assertNull(holding.summary());
    }

    @Test
    void ofALongListOnePartIsHeldAndThatIsSaidOnce() {
        whole(1_000);
        whole(1_000);
        assertTrue(module.size() <= MOST && !module.isEmpty(), "holds " + module.size());
        assertEquals(all(0, 1_000), new TreeSet<>(module.keySet()));
        assertEquals(1, changes.size());
        assertTrue(changes.get(0).endsWith(" of a list of 1000 upstreams, 20 at most"), changes.get(0));
    }

    @Test
    void aDrainOfWhatIsHeldBindsAndOneOfWhatIsNotIsPassedOver() {
        whole(1_000);
        int before = module.size();
        String held = module.keySet().iterator().next();
        told(Lists.list(2, false, 0, 1_000, "terminating"));
        assertEquals(before, module.size());
        assertTrue(module.values().stream().allMatch(s -> s == EndpointState.DRAINING));
        assertTrue(module.containsKey(held));
    }

    /** Each of them small, together too many: what is let go is gone for the module too. */
    @Test
    void changesThatAddUpToTooManyNarrowThePart() {
        whole(15);
        for (int i = 15; i < 600; i += 5) {
            told(Lists.list(i, false, i, i + 5, "in_service"));
            assertTrue(module.size() <= MOST, "holds " + module.size());
            assertEquals(all(0, i + 5), new TreeSet<>(module.keySet()));
        }
        assertTrue(holding.subset().level() >= 4, "level " + holding.subset().level());
    }

    @Test
    void aShortListIsHeldWholeAgain() {
        whole(1_000);
        int level = holding.subset().level();
        for (int i = 0; i < level; i++) { // it widens by one step a list
            whole(10);
        }
        assertEquals(10, module.size());
        assertNull(holding.summary());
    }

    @Test
    void operatorsMayTakeOutWhatIsNotHeldAndItStaysOut() {
        whole(1_000);
        String other = IntStream.range(0, 1_000)
                .mapToObj(i -> "s-" + i)
                .filter(id -> !holding.holds(id))
                .findFirst()
                .orElseThrow();
        String held = module.keySet().iterator().next();
        assertTrue(membership.setDown(other));
        assertTrue(membership.setDown(held));
        assertEquals(EndpointState.DRAINING, module.get(held));
        while (!holding.holds(other)) {
            holding.seekNext();
            whole(1_000);
        }
        assertEquals(EndpointState.DRAINING, module.get(other));
        assertTrue(membership.setUp(other));
        assertEquals(EndpointState.UP, module.get(other));
    }

    @Test
    void whereAllIsHeldNobodyKnowsAnUnknownId() {
        whole(10);
        assertFalse(membership.setDown("s-11"));
    }

    /** A balancer left with nothing of use goes on to another part, and until then keeps what binds. */
    @Test
    void aBarrenPartIsLeftForTheNextWithTheNextWholeList() {
        whole(1_000);
        assertFalse(membership.barren());
        Set<String> first = Set.copyOf(module.keySet());
        told(Lists.list(2, false, 0, 1_000, "terminating"));
        assertTrue(membership.barren());
        holding.seekNext();
        told(Lists.list(3, false, 0, 1_000, "terminating"));
        assertEquals(first, module.keySet(), "drains of what is held still bind");
        whole(1_000);
        assertFalse(membership.barren());
        assertTrue(module.keySet().stream().noneMatch(first::contains));
    }

    @Test
    void aListThatIsHeldBackIsBoundedToo() {
        EndpointList known = Lists.read(holding, Lists.list(1, true, 0, 1_000, "in_service"), 10_000);
        membership.listed(EndpointListKind.CACHED, new EndpointList(1, true, List.of()));
        membership.hold(known);
        assertTrue(module.isEmpty());
        membership.release();
        assertEquals(all(0, 1_000), new TreeSet<>(module.keySet()));
        assertTrue(holding.summary().contains("1000"), holding.summary());
    }

    /** A list that stands in a file, or comes from a caller that read it by itself. */
    @Test
    void aListThatNobodyHasLookedAtIsBoundedToo() {
        membership.listed(
                EndpointListKind.SNAPSHOT,
                new EndpointList(
                        9,
                        true,
                        IntStream.range(0, 500)
                                .mapToObj(i -> new EndpointList.Target(
                                        new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                                .toList()));
        assertEquals(all(0, 500), new TreeSet<>(module.keySet()));
        assertTrue(module.size() <= MOST && holding.named() == 500, holding.summary());
    }

    @Test
    void whatAnotherProcessHeldIsTakenOverWithinTheBound() {
        MembershipTest other = new MembershipTest().begin(4);
        other.whole(15);
        whole(1_000);
        EndpointList theirs = new EndpointList(
                9,
                true,
                IntStream.range(0, 500)
                        .mapToObj(i ->
                                new EndpointList.Target(new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                        .toList());
        membership.inherit(Set.of(), Map.of(), theirs);
        assertTrue(membership.told().list().size() <= MOST);
        assertEquals(
                all(0, 500),
                membership.told().list().stream()
                        .map(t -> t.server().id())
                        .collect(Collectors.toCollection(TreeSet::new)));
    }

    /** Whatever comes, the module knows what a balancer would that had always held that part. */
    @Property(tries = 60, seed = "6")
    void theModuleKnowsAllOfThePartAndNothingElse(
            @ForAll java.util.Random random, @ForAll @IntRange(min = 0, max = 50) int rank) {
        MembershipTest t = new MembershipTest().begin(rank);
        Map<String, String> truth = new LinkedHashMap<>();
        for (int rev = 1; rev < 40; rev++) {
            boolean all = rev == 1 || random.nextInt(10) == 0;
            List<String> entries = new ArrayList<>();
            for (int i = random.nextInt(60); i >= 0; i--) {
                int id = random.nextInt(400);
                String state =
                        new String[] {"in_service", "in_service", "terminating", "terminated"}[random.nextInt(4)];
                if (state.equals("terminated")) {
                    truth.remove("s-" + id);
                } else {
                    truth.put("s-" + id, Lists.entry(id, state));
                }
                entries.add(Lists.entry(id, state));
            }
            t.told("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                    + String.join(",", all ? truth.values() : entries) + "]}");
            Set<String> expected =
                    truth.keySet().stream().filter(t.holding::holds).collect(Collectors.toSet());
            assertTrue(t.module.size() <= MOST);
            assertEquals(expected, t.module.keySet());
        }
    }
}
