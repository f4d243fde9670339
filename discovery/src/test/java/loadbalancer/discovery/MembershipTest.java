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
    private static final int MAX_ENDPOINTS = 20;

    private EndpointSubset subset;
    private Membership membership;
    private final Map<String, EndpointState> policyView = new LinkedHashMap<>(); // as the policy knows it
    private final List<String> changes = new ArrayList<>();

    MembershipTest() {
        begin(3);
    }

    private MembershipTest begin(int rank) {
        subset = new EndpointSubset(MAX_ENDPOINTS, rank);
        membership = new Membership(subset, new OperatorDrains(), () -> 0, (kind, targets) -> {
            if (targets.complete()) {
                policyView.clear();
            }
            for (Endpoint s : targets.endpoints()) {
                if (s.state() == EndpointState.GONE) {
                    policyView.remove(s.id());
                } else {
                    policyView.put(s.id(), s.state());
                }
            }
        });
        subset.onChange(h -> changes.add(String.valueOf(h.summary())));
        return this;
    }

    private void update(String json) {
        EndpointList t = Lists.read(subset, json, 10_000);
        membership.update(t.complete() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA, t);
    }

    private void updateComplete(int many) {
        update(Lists.list(1, true, 0, many, "in_service"));
    }

    private Set<String> keptOf(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "s-" + i)
                .filter(subset::contains)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void aListWithinTheBoundIsKeptInFullWithoutANote() {
        updateComplete(MAX_ENDPOINTS);
        assertEquals(MAX_ENDPOINTS, policyView.size());
        assertTrue(changes.isEmpty());
        assertNull(subset.summary());
    }

    @Test
    void ofALongListOnePartIsKeptAndNotedOnce() {
        updateComplete(1_000);
        updateComplete(1_000);
        assertTrue(policyView.size() <= MAX_ENDPOINTS && !policyView.isEmpty(), "holds " + policyView.size());
        assertEquals(keptOf(0, 1_000), new TreeSet<>(policyView.keySet()));
        assertEquals(1, changes.size());
        assertTrue(changes.get(0).endsWith(" of a list of 1000 upstreams, 20 at most"), changes.get(0));
    }

    @Test
    void aDrainAppliesToWhatIsKeptAndToNothingElse() {
        updateComplete(1_000);
        int before = policyView.size();
        String held = policyView.keySet().iterator().next();
        update(Lists.list(2, false, 0, 1_000, "terminating"));
        assertEquals(before, policyView.size());
        assertTrue(policyView.values().stream().allMatch(s -> s == EndpointState.DRAINING));
        assertTrue(policyView.containsKey(held));
    }

    /** Each of them small, together too many: what is no longer kept is gone for the policy too. */
    @Test
    void deltasThatAddUpToTooManyNarrowTheSubset() {
        updateComplete(15);
        for (int i = 15; i < 600; i += 5) {
            update(Lists.list(i, false, i, i + 5, "in_service"));
            assertTrue(policyView.size() <= MAX_ENDPOINTS, "holds " + policyView.size());
            assertEquals(keptOf(0, i + 5), new TreeSet<>(policyView.keySet()));
        }
        assertTrue(subset.subset().level() >= 4, "level " + subset.subset().level());
    }

    @Test
    void aShortListIsKeptInFullAgain() {
        updateComplete(1_000);
        int level = subset.subset().level();
        for (int i = 0; i < level; i++) { // it widens by one step a list
            updateComplete(10);
        }
        assertEquals(10, policyView.size());
        assertNull(subset.summary());
    }

    @Test
    void operatorsMayDrainWhatIsNotKeptAndItStaysDrained() {
        updateComplete(1_000);
        String other = IntStream.range(0, 1_000)
                .mapToObj(i -> "s-" + i)
                .filter(id -> !subset.contains(id))
                .findFirst()
                .orElseThrow();
        String held = policyView.keySet().iterator().next();
        assertTrue(membership.drain(other));
        assertTrue(membership.drain(held));
        assertEquals(EndpointState.DRAINING, policyView.get(held));
        while (!subset.contains(other)) {
            subset.changeToNextSubset();
            updateComplete(1_000);
        }
        assertEquals(EndpointState.DRAINING, policyView.get(other));
        assertTrue(membership.restore(other));
        assertEquals(EndpointState.UP, policyView.get(other));
    }

    @Test
    void whereAllIsKeptAnUnlistedIdIsUnknown() {
        updateComplete(10);
        assertFalse(membership.drain("s-11"));
    }

    /** A balancer left without a usable endpoint changes to another subset, and until then applies drains. */
    @Test
    void aSubsetWithoutUsableEndpointsIsLeftWithTheNextCompleteList() {
        updateComplete(1_000);
        assertFalse(membership.needsOtherSubset());
        Set<String> first = Set.copyOf(policyView.keySet());
        update(Lists.list(2, false, 0, 1_000, "terminating"));
        assertTrue(membership.needsOtherSubset());
        subset.changeToNextSubset();
        update(Lists.list(3, false, 0, 1_000, "terminating"));
        assertEquals(first, policyView.keySet(), "drains of what is held still bind");
        updateComplete(1_000);
        assertFalse(membership.needsOtherSubset());
        assertTrue(policyView.keySet().stream().noneMatch(first::contains));
    }

    @Test
    void aListThatIsHeldBackIsBounded() {
        EndpointList known = Lists.read(subset, Lists.list(1, true, 0, 1_000, "in_service"), 10_000);
        membership.update(EndpointListKind.CACHED, new EndpointList(1, true, List.of()));
        membership.holdBack(known);
        assertTrue(policyView.isEmpty());
        membership.release();
        assertEquals(keptOf(0, 1_000), new TreeSet<>(policyView.keySet()));
        assertTrue(subset.summary().contains("1000"), subset.summary());
    }

    /** A list that stands in a file, or comes from a caller that read it by itself. */
    @Test
    void aListThatWasNotSampledIsBounded() {
        membership.update(
                EndpointListKind.SNAPSHOT,
                new EndpointList(
                        9,
                        true,
                        IntStream.range(0, 500)
                                .mapToObj(i -> new EndpointList.Entry(
                                        new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                                .toList()));
        assertEquals(keptOf(0, 500), new TreeSet<>(policyView.keySet()));
        assertTrue(policyView.size() <= MAX_ENDPOINTS && subset.listedCount() == 500, subset.summary());
    }

    @Test
    void theStateOfAnotherProcessIsRestoredWithinTheBound() {
        MembershipTest other = new MembershipTest().begin(4);
        other.updateComplete(15);
        updateComplete(1_000);
        EndpointList theirs = new EndpointList(
                9,
                true,
                IntStream.range(0, 500)
                        .mapToObj(i ->
                                new EndpointList.Entry(new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                        .toList());
        membership.restoreState(Set.of(), Map.of(), theirs);
        assertTrue(membership.listed().entries().size() <= MAX_ENDPOINTS);
        assertEquals(
                keptOf(0, 500),
                membership.listed().entries().stream()
                        .map(t -> t.endpoint().id())
                        .collect(Collectors.toCollection(TreeSet::new)));
    }

    /** Whatever comes, the policy knows what that of a balancer does that has always kept that subset. */
    @Property(tries = 60, seed = "6")
    void thePolicyGetsAllOfTheSubsetAndNothingElse(
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
            t.update("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                    + String.join(",", all ? truth.values() : entries) + "]}");
            Set<String> expected =
                    truth.keySet().stream().filter(t.subset::contains).collect(Collectors.toSet());
            assertTrue(t.policyView.size() <= MAX_ENDPOINTS);
            assertEquals(expected, t.policyView.keySet());
        }
    }
}
