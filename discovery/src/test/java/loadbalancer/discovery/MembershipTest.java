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

/** Which endpoints are kept of lists and deltas within the bound, and what the policy receives of them. */
class MembershipTest {
    private static final int MAX_ENDPOINTS = 20;

    private EndpointSubset subset;
    private Membership membership;
    private final Map<String, EndpointState> policyView = new LinkedHashMap<>(); // what the policy has received
    private final List<String> subsetSummaries = new ArrayList<>(); // one for each change of the subset

    MembershipTest() {
        start(3);
    }

    private MembershipTest start(int rank) {
        subset = new EndpointSubset(MAX_ENDPOINTS, rank);
        membership = new Membership(subset, new OperatorDrains(), () -> 0, (kind, list) -> {
            if (list.complete()) {
                policyView.clear();
            }
            for (Endpoint endpoint : list.endpoints()) {
                if (endpoint.state() == EndpointState.GONE) {
                    policyView.remove(endpoint.id());
                } else {
                    policyView.put(endpoint.id(), endpoint.state());
                }
            }
        });
        subset.onChange(changed -> subsetSummaries.add(String.valueOf(changed.summary())));
        return this;
    }

    private void update(String json) {
        EndpointList list = Lists.read(subset, json, 10_000);
        membership.update(list.complete() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA, list);
    }

    private void updateComplete(int endpointCount) {
        update(Lists.list(1, true, 0, endpointCount, "in_service"));
    }

    private Set<String> idsInSubset(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> "s-" + i)
                .filter(subset::contains)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void aListWithinTheBoundIsKeptInFullWithoutASummary() {
        updateComplete(MAX_ENDPOINTS);
        assertEquals(MAX_ENDPOINTS, policyView.size());
        assertTrue(subsetSummaries.isEmpty());
        assertNull(subset.summary());
    }

    @Test
    void aLongListIsReducedToASubsetAndReportedOnce() {
        updateComplete(1_000);
        updateComplete(1_000);
        assertTrue(policyView.size() <= MAX_ENDPOINTS && !policyView.isEmpty(), "holds " + policyView.size());
        assertEquals(idsInSubset(0, 1_000), new TreeSet<>(policyView.keySet()));
        assertEquals(1, subsetSummaries.size());
        assertTrue(subsetSummaries.get(0).endsWith(" of a list of 1000 upstreams, 20 at most"), subsetSummaries.get(0));
    }

    @Test
    void aDeltaOfDrainsAppliesToKeptEndpointsOnly() {
        updateComplete(1_000);
        int sizeBefore = policyView.size();
        String kept = policyView.keySet().iterator().next();
        update(Lists.list(2, false, 0, 1_000, "terminating"));
        assertEquals(sizeBefore, policyView.size());
        assertTrue(policyView.values().stream().allMatch(state -> state == EndpointState.DRAINING));
        assertTrue(policyView.containsKey(kept));
    }

    /** Each delta is small, but together they exceed the bound: the policy must drop what is no longer kept. */
    @Test
    void deltasThatTogetherExceedTheBoundNarrowTheSubset() {
        updateComplete(15);
        for (int i = 15; i < 600; i += 5) {
            update(Lists.list(i, false, i, i + 5, "in_service"));
            assertTrue(policyView.size() <= MAX_ENDPOINTS, "holds " + policyView.size());
            assertEquals(idsInSubset(0, i + 5), new TreeSet<>(policyView.keySet()));
        }
        assertTrue(subset.subset().level() >= 4, "level " + subset.subset().level());
    }

    @Test
    void aListWithinTheBoundIsKeptInFullAgainAfterALongOne() {
        updateComplete(1_000);
        int level = subset.subset().level();
        for (int i = 0; i < level; i++) { // each list widens the subset by one level
            updateComplete(10);
        }
        assertEquals(10, policyView.size());
        assertNull(subset.summary());
    }

    @Test
    void anEndpointOutsideTheSubsetCanBeDrainedAndStaysDrained() {
        updateComplete(1_000);
        String other = IntStream.range(0, 1_000)
                .mapToObj(i -> "s-" + i)
                .filter(id -> !subset.contains(id))
                .findFirst()
                .orElseThrow();
        String kept = policyView.keySet().iterator().next();
        assertTrue(membership.drain(other));
        assertTrue(membership.drain(kept));
        assertEquals(EndpointState.DRAINING, policyView.get(kept));
        while (!subset.contains(other)) {
            subset.changeToNextSubset();
            updateComplete(1_000);
        }
        assertEquals(EndpointState.DRAINING, policyView.get(other));
        assertTrue(membership.restore(other));
        assertEquals(EndpointState.UP, policyView.get(other));
    }

    @Test
    void anUnlistedIdIsUnknownIfTheWholeListIsKept() {
        updateComplete(10);
        assertFalse(membership.drain("s-11"));
    }

    /** A balancer without a usable endpoint changes to another subset, and until then applies drains. */
    @Test
    void aSubsetWithoutUsableEndpointsIsReplacedWithTheNextCompleteList() {
        updateComplete(1_000);
        assertFalse(membership.needsOtherSubset());
        Set<String> first = Set.copyOf(policyView.keySet());
        update(Lists.list(2, false, 0, 1_000, "terminating"));
        assertTrue(membership.needsOtherSubset());
        subset.changeToNextSubset();
        update(Lists.list(3, false, 0, 1_000, "terminating"));
        assertEquals(first, policyView.keySet(), "drains of kept endpoints still apply");
        updateComplete(1_000);
        assertFalse(membership.needsOtherSubset());
        assertTrue(policyView.keySet().stream().noneMatch(first::contains));
    }

    @Test
    void aHeldBackListIsReducedToTheBound() {
        EndpointList cached = Lists.read(subset, Lists.list(1, true, 0, 1_000, "in_service"), 10_000);
        membership.update(EndpointListKind.CACHED, new EndpointList(1, true, List.of()));
        membership.holdBack(cached);
        assertTrue(policyView.isEmpty());
        membership.release();
        assertEquals(idsInSubset(0, 1_000), new TreeSet<>(policyView.keySet()));
        assertTrue(subset.summary().contains("1000"), subset.summary());
    }

    /** Such a list is in a file, or its caller has read it without {@link ListReader}. */
    @Test
    void aListThatWasNotSampledIsReducedToTheBound() {
        membership.update(
                EndpointListKind.SNAPSHOT,
                new EndpointList(
                        9,
                        true,
                        IntStream.range(0, 500)
                                .mapToObj(i -> new EndpointList.Entry(
                                        new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                                .toList()));
        assertEquals(idsInSubset(0, 500), new TreeSet<>(policyView.keySet()));
        assertTrue(policyView.size() <= MAX_ENDPOINTS && subset.listedCount() == 500, subset.summary());
    }

    @Test
    void theStateOfAnotherProcessIsRestoredWithinTheBound() {
        MembershipTest other = new MembershipTest().start(4);
        other.updateComplete(15);
        updateComplete(1_000);
        EndpointList otherList = new EndpointList(
                9,
                true,
                IntStream.range(0, 500)
                        .mapToObj(i ->
                                new EndpointList.Entry(new Endpoint("s-" + i, EndpointState.UP, 0, 1, 0, 0, 0), null))
                        .toList());
        membership.restoreState(Set.of(), Map.of(), otherList);
        assertTrue(membership.listed().entries().size() <= MAX_ENDPOINTS);
        assertEquals(
                idsInSubset(0, 500),
                membership.listed().entries().stream()
                        .map(entry -> entry.endpoint().id())
                        .collect(Collectors.toCollection(TreeSet::new)));
    }

    /** After any lists and deltas, the policy holds the endpoints that it would if the subset had never changed. */
    @Property(tries = 60, seed = "6")
    void thePolicyHoldsExactlyTheListedEndpointsOfTheSubset(
            @ForAll java.util.Random random, @ForAll @IntRange(min = 0, max = 50) int rank) {
        MembershipTest test = new MembershipTest().start(rank);
        Map<String, String> listed = new LinkedHashMap<>();
        for (int rev = 1; rev < 40; rev++) {
            boolean all = rev == 1 || random.nextInt(10) == 0;
            List<String> entries = new ArrayList<>();
            for (int i = random.nextInt(60); i >= 0; i--) {
                int id = random.nextInt(400);
                String state =
                        new String[] {"in_service", "in_service", "terminating", "terminated"}[random.nextInt(4)];
                if (state.equals("terminated")) {
                    listed.remove("s-" + id);
                } else {
                    listed.put("s-" + id, Lists.entry(id, state));
                }
                entries.add(Lists.entry(id, state));
            }
            test.update("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                    + String.join(",", all ? listed.values() : entries) + "]}");
            Set<String> expected =
                    listed.keySet().stream().filter(test.subset::contains).collect(Collectors.toSet());
            assertTrue(test.policyView.size() <= MAX_ENDPOINTS);
            assertEquals(expected, test.policyView.keySet());
        }
    }
}
