package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.settings.SettingsReader;
import loadbalancer.subset.AdaptiveSample;
import loadbalancer.subset.Subset;

/**
 * Reads lists from bytes that come in pieces, wherever these and the lists' lines end. What can't be JSON is found out
 * at its first wrong byte, not only when the source falls silent. No list is ever in memory as a whole: each entry is
 * taken or passed over as it ends, so that the memory for a list doesn't grow with it.
 */
public final class ListReader {
    private static final int MOST = 4 << 20; // bytes from one entry's end to the next
    private static final long MOST_ALL = 1L << 29; // of one list: some 3 million entries
    private static final String TARGETS = "targets";
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(16)
                    .maxStringLength(1 << 16)
                    .build())
            .build();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Supplier<SettingsReader.Boot> boot;
    private final EndpointSubset holding;
    private final Deque<Object> open = new ArrayDeque<>(); // maps and lists that have begun, the innermost first
    private final Deque<String> names = new ArrayDeque<>(); // of what comes next in each open map
    private AdaptiveSample<EndpointList.Target> gathering; // null before the first entry of a list
    private int length; // since an entry ended
    private long all; // of the list that is coming in

    /** Reads lists by the settings of the moment, what is held of them. */
    ListReader(Supplier<SettingsReader.Boot> boot, EndpointSubset holding) {
        this.boot = boot;
        this.holding = holding;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    private ListReader(JsonParser parser, SettingsReader.Boot boot, EndpointSubset holding) {
        this.parser = parser;
        this.feeder = null;
        this.boot = () -> boot;
        this.holding = holding;
    }

    /**
     * Reads the list whose first token is the parser's current one, and no further.
     *
     * @throws IllegalArgumentException where it isn't a list
     * @throws IOException where it can't be read, or isn't JSON
     */
    public static EndpointList one(JsonParser parser, SettingsReader.Boot boot, EndpointSubset holding)
            throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("no list of targets");
        }
        ListReader reader = new ListReader(parser, boot, holding);
        EndpointList[] found = new EndpointList[1];
        reader.take(JsonToken.START_OBJECT, t -> found[0] = t);
        while (found[0] == null) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IllegalArgumentException("it breaks off");
            }
            reader.take(token, t -> found[0] = t);
        }
        return found[0];
    }

    /** Whether part of an object has come. */
    boolean within() {
        return !open.isEmpty();
    }

    /**
     * Reads on; {@code whole} gets each list that ends here.
     *
     * @throws IllegalArgumentException where it isn't JSON, or isn't a list, or is longer than any list
     */
    void read(byte[] bytes, Consumer<EndpointList> whole) {
        try {
            length += bytes.length;
            all += bytes.length;
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
                take(t, whole);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
        if (open.isEmpty()) {
            length = 0;
            all = 0;
        } else if (length > MOST) {
            throw new IllegalArgumentException("over " + MOST + " bytes without an upstream");
        } else if (all > MOST_ALL) {
            throw new IllegalArgumentException("a list of over " + MOST_ALL + " bytes");
        }
    }

    private void take(JsonToken token, Consumer<EndpointList> whole) throws IOException {
        if (open.isEmpty() && token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("not an object: " + parser.getText());
        }
        switch (token) {
            case START_OBJECT -> {
                open.push(new LinkedHashMap<String, Object>());
            }
            case START_ARRAY -> {
                open.push(new ArrayList<>());
            }
            case FIELD_NAME -> {
                names.push(parser.currentName());
            }
            case END_OBJECT, END_ARRAY -> {
                Object ended = open.pop();
                if (open.isEmpty()) {
                    list((Map<?, ?>) ended, whole);
                } else if (open.size() == 2 && open.peek() instanceof List<?> && TARGETS.equals(names.peek())) {
                    entry(ended);
                } else {
                    add(ended);
                }
            }
            case VALUE_STRING -> {
                add(parser.getText());
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                add(parser.getNumberValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                add(token == JsonToken.VALUE_TRUE);
            }
            default -> {
                add(null);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void add(Object value) {
        if (open.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) open.peek()).put(names.pop(), value);
        }
    }

    private void entry(Object ended) {
        length = 0;
        if (gathering == null) {
            gathering = holding.gather(((Map<?, ?>) open.peekLast()).get("all") == Boolean.TRUE);
        }
        if (gathering.wants(Subset.hash(EndpointList.uid(ended)))) {
            gathering.add(EndpointList.entry((Map<?, ?>) ended, boot.get()));
        } else {
            EndpointList.state((Map<?, ?>) ended); // what is not held must still be an entry
            gathering.pass();
        }
    }

    private void list(Map<?, ?> ended, Consumer<EndpointList> whole) {
        AdaptiveSample<EndpointList.Target> g = gathering;
        gathering = null;
        boolean complete = ended.get("all") == Boolean.TRUE;
        // What stands in it but an entry: a number, a word, a list.
        if (!(ended.get(TARGETS) instanceof List<?> rest) || !rest.isEmpty()) {
            throw new IllegalArgumentException(
                    ended.get(TARGETS) instanceof List<?> ? "a target without uid" : "no list of targets");
        }
        if (g == null) {
            g = holding.gather(complete);
        }
        List<EndpointList.Target> held = List.copyOf(g.end());
        whole.accept(new EndpointList(
                (long) EndpointList.number(ended.get("rev"), 0),
                complete,
                held,
                Long.MAX_VALUE,
                new EndpointList.Part(g.subset(), g.named())));
    }
}
