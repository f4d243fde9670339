package loadbalancer.admin;

import java.util.Arrays;
import java.util.List;

/**
 * Parses and executes one command line of an operator, and formats the response: {@code ACK} or {@code NAK}, followed
 * by a message. No other class depends on the commands' syntax. Stateless.
 */
final class OperatorCommand {
    private static final String CHECK = "check";
    private static final String DRAIN = "set-down";
    private static final String RESTORE = "set-up";
    private static final String ACCEPTED = "ACK ";
    private static final String REJECTED = "NAK ";
    private static final String USAGE = "known: check, set-down ID, set-up ID";

    private OperatorCommand() {}

    /** Executes the command in {@code line}, and returns the response without a line end. */
    static String execute(String line, OperatorActions actions) {
        List<String> words = Arrays.stream(line.strip().split("\\s+"))
                .filter(word -> !word.isEmpty())
                .toList();
        if (words.isEmpty()) {
            return REJECTED + "empty call; " + USAGE;
        }
        List<String> arguments = words.subList(1, words.size());
        return switch (words.get(0)) {
            case CHECK -> check(arguments, actions);
            case DRAIN -> drain(arguments, actions);
            case RESTORE -> restore(arguments, actions);
            default -> REJECTED + "unknown call; " + USAGE;
        };
    }

    private static String check(List<String> arguments, OperatorActions actions) {
        if (!arguments.isEmpty()) {
            return REJECTED + CHECK + " takes no argument";
        }
        String reason = actions.notReadyReason();
        if (reason != null) {
            return REJECTED + reason;
        }
        String note = actions.readinessNote();
        return ACCEPTED + "ready" + (note == null ? "" : "; " + note);
    }

    private static String drain(List<String> arguments, OperatorActions actions) {
        if (arguments.size() != 1) {
            return REJECTED + DRAIN + " takes one ID";
        }
        String endpointId = arguments.get(0);
        return actions.drain(endpointId) ? ACCEPTED + endpointId + " is out" : unknownEndpoint(endpointId);
    }

    private static String restore(List<String> arguments, OperatorActions actions) {
        if (arguments.size() != 1) {
            return REJECTED + RESTORE + " takes one ID";
        }
        String endpointId = arguments.get(0);
        return actions.restore(endpointId) ? ACCEPTED + endpointId + " is in" : unknownEndpoint(endpointId);
    }

    private static String unknownEndpoint(String endpointId) {
        return REJECTED + "no upstream " + endpointId;
    }
}
