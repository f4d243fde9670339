package loadbalancer.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.discovery.EndpointList;
import loadbalancer.settings.SettingsReader;

/** What a process tells the one that goes on in its place, of one pool: read strictly, or not at all. */
public record HandoverState(
        Set<String> out, Map<String, Long> back, EndpointList list, Map<String, double[]> learnedState) {
    /**
     * Reads what was told.
     *
     * @throws RuntimeException of some kind where it isn't what such a process tells
     */
    public static HandoverState of(Map<?, ?> state, SettingsReader.Boot boot) {
        Set<String> out = new TreeSet<>();
        ((List<?>) state.get("out")).forEach(id -> out.add((String) id));
        Map<String, Long> back = new LinkedHashMap<>();
        ((Map<?, ?>) state.get("back")).forEach((id, at) -> back.put((String) id, ((Number) at).longValue()));
        EndpointList list = EndpointList.of(state.get("list"), boot);
        Map<String, double[]> learnedState = new LinkedHashMap<>();
        ((Map<?, ?>) state.get("learnt"))
                .forEach((name, figures) -> learnedState.put(
                        (String) name,
                        ((List<?>) figures)
                                .stream()
                                        .mapToDouble(f -> ((Number) f).doubleValue())
                                        .toArray()));
        if (!boot.classes().equals(state.get("classes"))) {
            learnedState.keySet().removeIf(name -> !name.startsWith("server "));
        }
        return new HandoverState(out, back, list, learnedState);
    }
}
