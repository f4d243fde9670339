package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class HostTest {
    private static final long MB = 1 << 20;
    private static final Host HOST = new Host(1_000 * MB, 400 * MB, 200, 1_024, 4);

    @Test
    void whatFitsIsNotRefused() {
        assertEquals(List.of(), HOST.lacks(new Need(260 * MB, 0, 1_024)));
    }

    @Test
    void aRefusalNamesTheFigureThatWouldBeNeeded() {
        assertEquals(
                List.of("needs 501 MB of memory, half of this machine's is 500 MB"),
                HOST.lacks(new Need(501 * MB, 0, 10)));
        assertEquals(
                List.of("needs -Xmx450m, 400m may be used now (LAB_JAVA_OPTS)"), HOST.lacks(new Need(300 * MB, 0, 10)));
        assertEquals(List.of("needs 201 processes, 200 are allowed"), HOST.lacks(new Need(1, 201, 10)));
        assertEquals(List.of("needs 2000 descriptors, this process may hold 1024"), HOST.lacks(new Need(1, 0, 2_000)));
    }

    @Test
    void heapOfRealBalancersIsNotOurs() {
        assertEquals(List.of(), HOST.lacks(new Need(450 * MB, 1, 10)));
    }

    @Test
    void thisProcessHasMemoryAndTime() {
        long pid = ProcessHandle.current().pid();
        assertTrue(Host.status(pid, "VmRSS") > MB);
        assertTrue(Host.status(pid, "VmHWM") >= Host.status(pid, "VmRSS") / 2);
        assertTrue(Host.cpu(pid) > 0);
        assertTrue(Host.here().memory() > MB);
    }
}
