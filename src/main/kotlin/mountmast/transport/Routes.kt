package mountmast.transport

import kotlinx.serialization.encodeToString
import mountmast.protocol.Heartbeat
import mountmast.protocol.Redirect
import mountmast.protocol.WireJson
import mountmast.protocol.decodeJson
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.transport")

/** Path of job submissions; the path of a job is this path, a slash and the job's id. */
internal const val JOBS_PATH = "/v1/jobs"

/** Path of workers' heartbeats. */
internal const val HEARTBEAT_PATH = "/agent/beat"

/** Path of the metrics. */
internal const val METRICS_PATH = "/metrics"

/** Suffix that is added to the path of a job to cancel the job. */
internal const val CANCEL_SUFFIX = "/cancel"

/** Returns the handler of all requests of users and workers, health checks and reads of the metrics. */
fun publicRoutes(users: UserService, heartbeats: HeartbeatService, admission: AdmissionLimits, metrics: Metrics = Metrics()): HttpHandler {
    val answeredHeartbeats = metrics.counter(MetricNames.HEARTBEATS_ANSWERED)
    return logSlowRequests(answerExceptions { request -> route(request, users, heartbeats, admission, metrics, answeredHeartbeats) })
}

private fun route(
    request: Request,
    users: UserService,
    heartbeats: HeartbeatService,
    admission: AdmissionLimits,
    metrics: Metrics,
    answeredHeartbeats: Counter,
): Response {
    val path = request.uri.path
    return when {
        path == HEARTBEAT_PATH -> request.requireMethod(Method.POST) {
            answeredHeartbeats.add()
            handleHeartbeat(request, heartbeats)
        }
        path == "/ready" -> request.requireMethod(Method.GET) {
            if (users.isReady()) json(200, "ready") else json(503, "not ready", retryAfterS = 1)
        }
        path == METRICS_PATH -> request.requireMethod(Method.GET) { text(metrics.render()) }
        path == JOBS_PATH -> request.requireMethod(Method.POST) {
            val body = request.readBoundedBody() ?: return@requireMethod json(400, errorBody("body: over 64 KiB"))
            admission.submissionLimit.admit { users.submit(body, isForwarded = false) }.toUserResponse(users)
        }
        path.startsWith("$JOBS_PATH/") && path.endsWith(CANCEL_SUFFIX) -> request.requireMethod(Method.POST) {
            users.cancel(path.removePrefix("$JOBS_PATH/").removeSuffix(CANCEL_SUFFIX), isForwarded = false).toUserResponse(users)
        }
        path.startsWith("$JOBS_PATH/") -> request.requireMethod(Method.GET) {
            admission.pollLimit.admit { users.status(path.removePrefix("$JOBS_PATH/"), isForwarded = false) }.toUserResponse(users)
        }
        else -> json(404, errorBody("no such path"))
    }
}

/**
 * Converts this answer to an HTTP response. If the user is to try again while this node is not ready, the response ends the connection:
 * the load balancer does not move open connections until a node has been unhealthy for some time, but gives the user's next one to a
 * healthy node.
 */
private fun UserAnswer.toUserResponse(users: UserService): Response {
    val response = toResponse()
    return if (retryAfterS > 0 && !users.isReady()) response.header("Connection", "close") else response
}

private fun handleHeartbeat(request: Request, heartbeats: HeartbeatService): Response {
    val body = request.readBoundedBody() ?: return json(400, errorBody("body: over 64 KiB"))
    val heartbeat = try {
        decodeJson<Heartbeat>(body)
    } catch (e: IllegalArgumentException) {
        log.warn("malformed heartbeat: {}", e.message?.lineSequence()?.firstOrNull())
        return json(400, errorBody("malformed report"))
    }
    return when (val outcome = heartbeats.onHeartbeat(heartbeat)) {
        is HeartbeatOutcome.Accepted -> json(200, WireJson.encodeToString(outcome.answer))
        is HeartbeatOutcome.Redirected -> json(421, WireJson.encodeToString(Redirect(outcome.node)))
    }
}
