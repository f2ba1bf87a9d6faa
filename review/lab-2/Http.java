import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP on loopback: small servers for the stand-ins, and a client. */
final class Http {
    static final int MAX_BODY = 64 * 1024;
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "stand-in", 512 * 1024);
        thread.setDaemon(true);
        return thread;
    });

    /** An answer; status 0 stands for no answer: the connection is closed without one. */
    static final class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    static final class Request {
        final String method;
        final String path;
        final Map<String, String> query = new HashMap<>();
        final String body;
        final int bodyBytes;

        Request(HttpExchange exchange) throws IOException {
            method = exchange.getRequestMethod();
            path = exchange.getRequestURI().getPath();
            String text = exchange.getRequestURI().getQuery();
            if (text != null) {
                for (String part : text.split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            bodyBytes = bytes.length;
            body = new String(bytes, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    static HttpServer serve(Handler handler) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
            server.setExecutor(THREADS);
            server.createContext("/", exchange -> {
                try {
                    Answer answer = handler.handle(new Request(exchange));
                    if (answer != null && answer.status != 0) {
                        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
                        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
                    }
                } catch (IOException e) {
                    // The caller closed the connection.
                } catch (Exception e) {
                    e.printStackTrace();
                } finally {
                    exchange.close();
                }
            });
            server.start();
            return server;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends one request and returns the answer, or null if none came in time. */
    static Answer call(String method, int port, String path, String body, int timeoutMs) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL("http://127.0.0.1:" + port + path).openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(Math.min(500, timeoutMs));
            connection.setReadTimeout(timeoutMs);
            connection.setInstanceFollowRedirects(false);
            if (body != null) {
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.setFixedLengthStreamingMode(bytes.length);
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(bytes);
                }
            }
            int status = connection.getResponseCode();
            try (InputStream in = status >= 400 ? connection.getErrorStream() : connection.getInputStream()) {
                return new Answer(status, in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Returns a socket that holds a free port, below the range that the system assigns by itself, so that a stopped process finds its port
     * free again.
     */
    static ServerSocket freePort() {
        for (int i = 0; i < 1000; i++) {
            try {
                ServerSocket socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 20_000 + ThreadLocalRandom.current().nextInt(10_000)), 1);
                return socket;
            } catch (IOException e) {
                // In use.
            }
        }
        throw new IllegalStateException("no free port");
    }
}
