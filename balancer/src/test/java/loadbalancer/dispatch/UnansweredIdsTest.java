package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The ids that may not be sent again, in one process and in the two of a handover. */
class UnansweredIdsTest {
    private final UnansweredIds ids = new UnansweredIds();

    @Test
    void anIdIsHeldUntilItIsSettled() {
        ids.sent("a");
        assertTrue(ids.contains("a"));
        assertFalse(ids.contains("b"));
        ids.settled("a");
        assertFalse(ids.contains("a"));
    }

    /** Guards against memory that grows with the number of ids. */
    @Test
    void onlyTheMostRecentIdsAreHeld() {
        for (int i = 0; i <= UnansweredIds.MAX_IDS; i++) {
            ids.sent("id " + i);
        }
        assertEquals(UnansweredIds.MAX_IDS, ids.all().size());
        assertFalse(ids.contains("id 0"));
        assertTrue(ids.contains("id 1"));
    }

    @Test
    void whatOneProcessSendsTheOtherKnows() {
        UnansweredIds other = new UnansweredIds();
        ids.sent("before");
        ids.all().forEach(other::sentElsewhere);
        ids.setListener(new UnansweredIds.Listener() {
            @Override
            public void sent(long idHash) {
                other.sentElsewhere(idHash);
            }

            @Override
            public void settled(long idHash) {
                other.settledElsewhere(idHash);
            }
        });
        ids.sent("after");
        assertTrue(other.contains("before"));
        assertTrue(other.contains("after"));
        ids.settled("before");
        assertFalse(other.contains("before"));
        assertTrue(other.contains("after"));
    }

    @Test
    void whatComesFromTheOtherProcessIsNotSentBack() {
        List<Long> told = new ArrayList<>();
        ids.setListener(new UnansweredIds.Listener() {
            @Override
            public void sent(long idHash) {
                told.add(idHash);
            }

            @Override
            public void settled(long idHash) {
                told.add(idHash);
            }
        });
        ids.sentElsewhere(7);
        ids.settledElsewhere(7);
        assertTrue(told.isEmpty());
    }
}
