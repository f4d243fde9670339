package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyEventQueueTest {
    private final List<String> delivered = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private final PolicyEventQueue events =
            new PolicyEventQueue(new MonotonicClock(), new DispatchStatistics(log::add));

    @Test
    void eventsSubmittedDuringADeliveryAreDeliveredAfterIt() {
        events.submit(nowMicros -> {
            events.submit(later -> delivered.add("second"));
            delivered.add("first");
        });
        assertEquals(List.of("first", "second"), delivered);
    }

    @Test
    void anEventThatThrowsIsLoggedAndTheNextIsDelivered() {
        events.submit(nowMicros -> {
            events.submit(later -> delivered.add("next"));
            throw new IllegalStateException("broken");
        });
        assertEquals(List.of("next"), delivered);
        assertEquals(1, log.size());
    }

    @Test
    void aClosedQueueDeliversNothing() {
        events.close();
        events.submit(nowMicros -> delivered.add("late"));
        assertEquals(List.of(), delivered);
    }
}
