import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays lists, integers BigInteger or Long, other numbers Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        Object value = parse(text);
        if (!(value instanceof Map)) throw new IllegalArgumentException("not an object");
        return (Map<String, Object>) value;
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private char next() {
        if (at >= text.length()) throw new IllegalArgumentException("end of JSON");
        return text.charAt(at);
    }

    private Object value() {
        space();
        char c = next();
        if (c == '{') return members();
        if (c == '[') return elements();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0 && text.charAt(at) > ' ') at++;
        String word = text.substring(from, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: break;
        }
        if (word.matches("-?[0-9]{1,18}")) return Long.valueOf(word);
        if (word.matches("-?[0-9]+")) return new java.math.BigInteger(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> members() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (next() == '}') {
            at++;
            return map;
        }
        while (true) {
            space();
            String name = string();
            space();
            if (next() != ':') throw new IllegalArgumentException("no colon");
            at++;
            map.put(name, value());
            space();
            char c = next();
            at++;
            if (c == '}') return map;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private List<Object> elements() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (next() == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            space();
            char c = next();
            at++;
            if (c == ']') return list;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private String string() {
        if (next() != '"') throw new IllegalArgumentException("no string");
        at++;
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = next();
            at++;
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = next();
            at++;
            switch (e) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(e);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> member : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(member.getKey(), out);
                out.append(':');
                write(member.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object element : (List<?>) value) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            String s = (String) value;
            for (int i = 0; i < s.length(); i++) {
                char c = s.charAt(i);
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    /** Returns a map of the given names and values, in order. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
