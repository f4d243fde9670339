package loadbalancer.simulator.faultinjection;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.simulator.faultinjection.StreamFault.FaultType;

/**
 * One direction of one connection under its faults: takes bytes, gives what is to be done with them, in order. What it
 * gives depends on the bytes alone, not on the pieces they came in, and so does its trace.
 */
public final class FaultedStream {
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    /** What is to be done next. */
    public sealed interface Step permits Pass, Perform {}

    /** Bytes to be passed on. */
    public record Pass(byte[] bytes) implements Step {}

    /** Something to be done before what follows; after all but {@code PAUSE} nothing follows. */
    public record Perform(FaultType what) implements Step {}

    private final List<StreamFault> pending;
    private final Framing framing;
    private final String name;
    private final List<String> trace = new ArrayList<>();
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
    private final StreamFault twice;
    private final Map<StreamFault, Long> starts = new HashMap<>(); // where faults behind a point that came are due
    private long offset;
    private boolean over;

    /** The stream of that connection and direction, under those of the faults that concern it. */
    public FaultedStream(int connection, boolean up, List<StreamFault> faults) {
        this.name = connection + (up ? " up" : " down");
        this.framing = new Framing(!up);
        this.pending = new ArrayList<>(faults.stream()
                .filter(f -> f.concerns(connection)
                        && f.up() == up
                        && f.what().compareTo(FaultType.PIECES) < 0
                        && f.what() != FaultType.REFUSE
                        && f.what() != FaultType.MUTE)
                .toList());
        this.twice = pending.stream()
                .filter(f -> f.what() == FaultType.TWICE)
                .findFirst()
                .orElse(null);
        pending.remove(twice);
    }

    /** What has happened so far, a line each. */
    public List<String> trace() {
        return trace;
    }

    /** Bytes that have been passed on so far. */
    public long bytes() {
        return offset;
    }

    /** Whether nothing more is passed on. */
    public boolean over() {
        return over;
    }

    /** Takes bytes. */
    public List<Step> take(byte[] bytes) {
        List<Step> steps = new ArrayList<>();
        ByteArrayOutputStream run = new ByteArrayOutputStream(bytes.length);
        for (byte octet : bytes) {
            if (over) {
                break;
            }
            Framing.Position place = framing.next(octet);
            for (StreamFault fault : due(place, false)) {
                strike(fault, run, steps);
            }
            if (over) {
                break;
            }
            byte out = garbled(octet);
            run.write(out);
            offset++;
            if (twice != null && place.message() == twice.message()) {
                answer.write(out);
                if (place.messageLast()) {
                    trace.add(name + " twice at " + offset + ": " + answer.size() + " bytes again");
                    run.writeBytes(answer.toByteArray());
                }
            }
            for (StreamFault fault : due(place, true)) {
                strike(fault, run, steps);
            }
        }
        flush(run, steps);
        return steps;
    }

    private List<StreamFault> due(Framing.Position place, boolean after) {
        List<StreamFault> due = new ArrayList<>(1);
        for (StreamFault fault : pending) {
            if (fault.what() == FaultType.GARBLE) {
                continue;
            }
            if (fault.point() == null) {
                if (!after && offset == fault.offset()) {
                    due.add(fault);
                }
                continue;
            }
            boolean here = place.message() == fault.message()
                    && switch (fault.point()) {
                        case HEAD -> !after && place.headFirst();
                        case HEAD_LAST -> !after && place.headLast();
                        case BODY_FIRST -> !after && place.bodyFirst();
                        case BODY_LAST -> !after && place.messageLast();
                        case END -> after && place.messageLast();
                    };
            if (here && fault.offset() == 0) {
                due.add(fault);
            } else if (here) {
                starts.put(fault, offset + fault.offset());
            } else if (!after && Long.valueOf(offset).equals(starts.get(fault))) {
                due.add(fault);
            }
        }
        return due;
    }

    private void strike(StreamFault fault, ByteArrayOutputStream run, List<Step> steps) {
        if (over) {
            return;
        }
        pending.remove(fault);
        flush(run, steps);
        trace.add(name + " " + fault.what().name().toLowerCase(Locale.ROOT).replace('_', '-') + " at " + offset);
        steps.add(new Perform(fault.what()));
        over = fault.what() != FaultType.PAUSE;
    }

    private static void flush(ByteArrayOutputStream run, List<Step> steps) {
        if (run.size() > 0) {
            steps.add(new Pass(run.toByteArray()));
            run.reset();
        }
    }

    private byte garbled(byte octet) {
        for (StreamFault fault : pending) {
            if (fault.what() == FaultType.GARBLE && offset >= fault.offset()) {
                long mixed = mix(fault.seed() * GOLDEN + offset);
                if ((mixed >>> 11) * 0x1.0p-53 < fault.amount()) {
                    trace.add(name + " garble at " + offset);
                    return (byte) (octet ^ 1 + (int) (mixed & 0x7e));
                }
            }
        }
        return octet;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
