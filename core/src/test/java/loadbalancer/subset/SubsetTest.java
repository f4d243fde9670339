package loadbalancer.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SubsetTest {
    private static final int FLEET_SIZE = 2_200;

    private static Subset subsetOf(int rank, int level) {
        Subset subset = Subset.whole(rank);
        while (subset.level() < level) {
            subset = subset.narrower();
        }
        return subset;
    }

    /** Returns the number of balancers of the part with the most, relative to the mean. */
    private static double unevenness(int fleetSize, int level, IntPredicate includesRank) {
        int[] balancersOfPart = new int[1 << level];
        int balancers = 0;
        for (int rank = 0; rank < fleetSize; rank++) {
            if (includesRank.test(rank)) {
                balancersOfPart[level == 0 ? 0 : (int) (subsetOf(rank, level).point() >>> 64 - level)]++;
                balancers++;
            }
        }
        return IntStream.of(balancersOfPart).max().getAsInt() / (balancers / (double) balancersOfPart.length);
    }

    @Property(tries = 200, seed = "1")
    void everyEndpointIsInExactlyOnePart(
            @ForAll long hash,
            @ForAll @IntRange(min = 0, max = FLEET_SIZE) int rank,
            @ForAll @IntRange(min = 0, max = 8) int level) {
        Subset subset = subsetOf(rank, level);
        int holders = 0;
        Set<Long> visitedParts = new HashSet<>();
        for (long i = 0; i < subset.partCount(); i++, subset = subset.next()) {
            holders += subset.contains(hash) ? 1 : 0;
            visitedParts.add(level == 0 ? 0 : subset.point() >>> 64 - level);
        }
        assertEquals(1, holders);
        assertEquals(1 << level, visitedParts.size(), "next() must visit all parts");
    }

    @Property(tries = 1_000, seed = "2")
    void aNarrowerPartLiesWithinTheWiderOne(
            @ForAll long hash,
            @ForAll @IntRange(min = 0, max = FLEET_SIZE) int rank,
            @ForAll @IntRange(min = 1, max = Subset.MAX_LEVEL) int level) {
        Subset subset = subsetOf(rank, level);
        assertTrue(!subset.contains(hash) || subset.wider().contains(hash));
        assertEquals(subset, subset.wider().narrower());
    }

    @Test
    void aLargeFleetIsSpreadEvenly() {
        for (int level = 0; level <= 6; level++) {
            double unevenness = unevenness(FLEET_SIZE, level, rank -> true);
            assertTrue(unevenness < 1.06, "level " + level + ": " + unevenness);
        }
    }

    /**
     * Ranks alternate between the zones or are assigned zone by zone; the balancers of a zone must not share a part.
     */
    @Test
    void theBalancersOfEachZoneAreSpreadEvenly() {
        for (int zones : new int[] {2, 3, 4, 8, 11, 16, 29}) {
            int zoneSize = FLEET_SIZE / zones;
            for (int i = 0; i < zones; i++) {
                int zone = i;
                double alternating = unevenness(FLEET_SIZE, 4, rank -> rank % zones == zone);
                double consecutive = unevenness(FLEET_SIZE, 4, rank -> rank / zoneSize == zone);
                // Alternating ranks in 16 zones are the worst case: 9 * 16 times the golden ratio is nearly a whole
                // number, so the points of 137 balancers form nine clusters. Random points would be as uneven.
                double bound = zones > 8 ? 2 : 1.2;
                assertTrue(
                        alternating < bound && consecutive < bound,
                        zones + " zones: " + alternating + ", " + consecutive);
            }
        }
    }

    /** Balancers at two levels: each takes its number of parts times an equal share of a cold endpoint's budget. */
    @Property(tries = 100, seed = "3")
    void budgetFractionsAddUpAcrossLevels(@ForAll long hash, @ForAll Random random) {
        double sum = 0;
        for (int rank = 0; rank < FLEET_SIZE; rank++) {
            Subset subset = subsetOf(rank, random.nextInt(2) + 4);
            sum += subset.contains(hash) ? subset.partCount() / (double) FLEET_SIZE : 0;
        }
        // The level of each balancer is random here; about 100 balancers hold the endpoint.
        assertTrue(sum < 1.45, "sum " + sum);
    }

    @Test
    void budgetFractionsAddUpAtOneLevel() {
        for (int level = 0; level <= 6; level++) {
            for (long part = 0; part < 1L << level; part++) {
                long hash = level == 0 ? 0 : part << 64 - level;
                double sum = 0;
                for (int rank = 0; rank < FLEET_SIZE; rank++) {
                    sum += subsetOf(rank, level).contains(hash) ? (1L << level) / (double) FLEET_SIZE : 0;
                }
                assertTrue(sum > 0.94 && sum < 1.06, "level " + level + ", part " + part + ": " + sum);
            }
        }
    }

    /**
     * Ids in the forms that discoveries use: counters, hexadecimal numbers, addresses. Part sizes vary only randomly.
     */
    @Test
    void idsAreSpreadEvenlyOverTheParts() {
        for (String format : new String[] {"s-%08x", "box-%d", "10.0.0.%d:5000", "%06d"}) {
            int[] idsOfPart = new int[32];
            for (int i = 0; i < 200_000; i++) {
                idsOfPart[(int) (Subset.hash(String.format(format, i)) >>> 59)]++;
            }
            // 6,250 ids per part, with a standard deviation of 78.
            for (int ids : idsOfPart) {
                assertEquals(6_250, ids, 400, format);
            }
        }
    }

    private static List<Long> randomHashes(Random random, int count) {
        return random.longs(count).boxed().toList();
    }

    private static AdaptiveSample<Long> sample(Subset former, boolean completeList, int maxEntries, List<Long> hashes) {
        AdaptiveSample<Long> sample = new AdaptiveSample<>(former, completeList, maxEntries, hash -> hash);
        for (Long hash : hashes) {
            if (sample.accepts(hash)) {
                sample.add(hash);
            } else {
                sample.skip();
            }
        }
        return sample;
    }

    @Property(tries = 300, seed = "4")
    void theSampleStaysWithinItsBoundAndDependsOnTheListAlone(
            @ForAll Random random,
            @ForAll @IntRange(min = 0, max = FLEET_SIZE) int rank,
            @ForAll @IntRange(min = 1, max = 3_000) int count,
            @ForAll @IntRange(min = 1, max = 500) int maxEntries) {
        List<Long> list = randomHashes(random, count);
        AdaptiveSample<Long> sample = sample(Subset.whole(rank), true, maxEntries, list);
        List<Long> held = List.copyOf(sample.finish());
        assertTrue(held.size() <= maxEntries);
        assertEquals(count, sample.listedCount());
        Subset subset = sample.subset();
        assertEquals(list.stream().filter(subset::contains).toList(), held, "exactly the entries of the part");
        assertTrue(
                subset.level() == 0
                        || list.stream().filter(subset.wider()::contains).count() > maxEntries,
                "no narrower than needed");
        List<Long> shuffled = new ArrayList<>(list);
        Collections.shuffle(shuffled, random);
        AdaptiveSample<Long> shuffledSample = sample(Subset.whole(rank), true, maxEntries, shuffled);
        assertEquals(Set.copyOf(held), Set.copyOf(shuffledSample.finish()));
    }

    @Test
    void aListWithinTheBoundIsHeldCompletely() {
        List<Long> list = randomHashes(new Random(1), 200);
        AdaptiveSample<Long> sample = sample(Subset.whole(7), true, 200, list);
        assertEquals(list, sample.finish());
        assertEquals(0, sample.subset().level());
    }

    /** If the length of a list varies around the bound, half of the endpoints must not change each time. */
    @Test
    void aWiderPartIsHeldOnlyWithHeadroom() {
        Random random = new Random(2);
        List<Long> list = new ArrayList<>(randomHashes(random, 1_010));
        AdaptiveSample<Long> first = sample(Subset.whole(3), true, 1_000, list);
        first.finish();
        assertEquals(1, first.subset().level());
        AdaptiveSample<Long> slightlyShorter = sample(first.subset(), true, 1_000, list.subList(0, 900));
        slightlyShorter.finish();
        assertEquals(1, slightlyShorter.subset().level());
        AdaptiveSample<Long> muchShorter = sample(first.subset(), true, 1_000, list.subList(0, 700));
        assertEquals(700, muchShorter.finish().size());
        assertEquals(0, muchShorter.subset().level());
    }

    @Test
    void deltasNeverWidenAPart() {
        Subset subset = subsetOf(3, 4);
        AdaptiveSample<Long> sample = sample(subset, false, 1_000, randomHashes(new Random(3), 160));
        sample.finish();
        assertEquals(subset, sample.subset());
        assertTrue(sample.finish().stream().allMatch(subset::contains));
    }

    @Test
    void anEndpointThatIsAddedOrRemovedMovesNoOther() {
        List<Long> list = randomHashes(new Random(4), 20_000);
        for (int rank = 0; rank < 50; rank++) {
            AdaptiveSample<Long> sample = sample(Subset.whole(rank), true, 1_000, list);
            Set<Long> held = Set.copyOf(sample.finish());
            AdaptiveSample<Long> shorterSample = sample(sample.subset(), true, 1_000, list.subList(1, list.size()));
            Set<Long> heldLater = new HashSet<>(shorterSample.finish());
            assertEquals(held.contains(list.get(0)), heldLater.add(list.get(0)) && held.equals(heldLater));
        }
    }

    @Test
    void manyEntriesOfOneIdStayWithinTheBound() {
        AdaptiveSample<Long> sample = sample(Subset.whole(0), true, 3, Collections.nCopies(50, 0L));
        assertEquals(3, sample.finish().size());
    }

    @Test
    void theLowestAndHighestLevelsAreKept() {
        Subset whole = Subset.whole(5);
        assertSame(whole, whole.wider());
        assertSame(whole, whole.next());
        Subset deepest = subsetOf(5, Subset.MAX_LEVEL);
        assertSame(deepest, deepest.narrower());
        assertFalse(deepest.contains(~deepest.point()));
    }
}
