package mountmast.transport

/**
 * Time within which a request must have been read, in seconds: a request that never arrives whole must not hold one of the few threads
 * that read requests. Longer than heartbeats may wait in their queue, as their bodies are read only after that wait.
 */
private const val MAX_REQUEST_S = 10

/**
 * Time within which a request must have been answered, in seconds; its sender has given up by then. The JDK's server counts a connection
 * as open until its exchange has been answered, even if it was closed without an answer: without this limit, each such connection would
 * take one of [ConnectionBudget.maxInboundConnections] for good.
 */
private const val MAX_RESPONSE_S = 10

/** Time after which an idle connection is closed, in seconds. */
private const val MAX_IDLE_S = 60

/**
 * Sets the limits of the JDK's HTTP server for all servers of this process, with the numbers of connections in [budget]. Has no effect
 * once a server has been created.
 */
fun configureJdkServer(budget: ConnectionBudget) {
    // By default the server delays small answers.
    System.setProperty("sun.net.httpserver.nodelay", "true")
    System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_S.toString())
    System.setProperty("sun.net.httpserver.maxRspTime", MAX_RESPONSE_S.toString())
    System.setProperty("sun.net.httpserver.idleInterval", MAX_IDLE_S.toString())
    System.setProperty("sun.net.httpserver.maxIdleConnections", budget.maxIdleConnections.toString())
    System.setProperty("jdk.httpserver.maxConnections", budget.maxInboundConnections.toString())
}
