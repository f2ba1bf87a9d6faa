import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server and a small HTTP client, both on loopback only. */
final class Http {
    record Request(String method, String path, String query, String body) {
        String parameter(String name) {
            if (query == null) return null;
            for (String part : query.split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    record Reply(int status, String body) {}

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** Serves [handler] on a free port of the loopback address; returns the port. */
    static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Reply reply = handler.handle(new Request(
                exchange.getRequestMethod(), exchange.getRequestURI().getPath(), exchange.getRequestURI().getRawQuery(), body));
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has gone.
        } catch (Exception e) {
            Rig.note("stand-in failed: " + e);
        }
    }

    /** One connection of a client, which stays open between requests. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();

        Connection(int port, int connectMs) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), connectMs);
            socket.setTcpNoDelay(true);
        }

        int localPort() {
            return socket.getLocalPort();
        }

        Reply call(String method, String path, String body, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: loopback\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = socket.getInputStream();
            int status = Integer.parseInt(line(in).split(" ")[1]);
            int length = 0;
            boolean chunked = false;
            boolean close = false;
            for (String header = line(in); !header.isEmpty(); header = line(in)) {
                String lower = header.toLowerCase();
                if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
                if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) chunked = true;
                if (lower.startsWith("connection:") && lower.contains("close")) close = true;
            }
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            if (chunked) {
                while (true) {
                    int size = Integer.parseInt(line(in).trim(), 16);
                    answer.write(exactly(in, size));
                    line(in);
                    if (size == 0) break;
                }
            } else {
                answer.write(exactly(in, length));
            }
            if (close) close();
            return new Reply(status, answer.toString(StandardCharsets.UTF_8));
        }

        boolean isOpen() {
            return !socket.isClosed();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing is lost.
            }
        }

        private static byte[] exactly(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) throw new EOFException("cut short");
            return bytes;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            while (true) {
                int c = in.read();
                if (c < 0) throw new EOFException("closed");
                if (c == '\n') return line.toString();
                if (c != '\r') line.append((char) c);
            }
        }
    }

    /** Sends one request on a connection of its own. */
    static Reply once(int port, String method, String path, String body, int timeoutMs) throws IOException {
        try (Connection connection = new Connection(port, Math.min(timeoutMs, 1000))) {
            return connection.call(method, path, body, timeoutMs);
        }
    }
}
