package loadbalancer.admin;

import java.util.Arrays;
import java.util.List;

/** Words the answer to one line of an operator: {@code ACK} or {@code NAK}, and what there is to say. */
final class Call {
    private Call() {}

    static String answer(String line, Operations operations) {
        List<String> words = Arrays.stream(line.strip().split("\\s+"))
                .filter(w -> !w.isEmpty())
                .toList();
        if (words.isEmpty()) {
            return "NAK empty call; known: check, set-down ID, set-up ID";
        }
        int arguments = words.size() - 1;
        switch (words.get(0)) {
            case "check" -> {
                if (arguments > 0) {
                    return "NAK check takes no argument";
                }
                String why = operations.unreadiness();
                String note = operations.note();
                return why == null ? "ACK ready" + (note == null ? "" : "; " + note) : "NAK " + why;
            }
            case "set-down" -> {
                if (arguments != 1) {
                    return "NAK set-down takes one ID";
                }
                String id = words.get(1);
                return operations.setDown(id) ? "ACK " + id + " is out" : unknown(id);
            }
            case "set-up" -> {
                if (arguments != 1) {
                    return "NAK set-up takes one ID";
                }
                String id = words.get(1);
                return operations.setUp(id) ? "ACK " + id + " is in" : unknown(id);
            }
            default -> {
                return "NAK unknown call; known: check, set-down ID, set-up ID";
            }
        }
    }

    private static String unknown(String id) {
        return "NAK no upstream " + id;
    }
}
