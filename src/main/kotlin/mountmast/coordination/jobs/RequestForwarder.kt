package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.transport.UserAnswer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.jobs")

/** Has requests that this node cannot serve served by another node. Thread-safe. */
internal class RequestForwarder(private val node: HostNode) {
    /**
     * Serves [request] by [serve]. If that does not reach the state service, another node serves it, unless one has forwarded
     * it here already; if none can, the user is told at once to come back.
     */
    fun serveOrForward(request: ForwardedRequest, isForwarded: Boolean, serve: () -> RequestOutcome): UserAnswer = try {
        serve().toUserAnswer()
    } catch (e: StoreRequestRejectedException) {
        // Every other node would send the same, so it is not forwarded.
        log.debug("record rejected by the state service, path={}: {}", request.path, e.message)
        RequestRejection.RecordRejectedByStore.toUserAnswer()
    } catch (e: StoreException) {
        val forwarded = if (isForwarded) null else node.forward(request)
        forwarded ?: RequestRejection.StoreUnavailable.toUserAnswer()
    } catch (e: IllegalArgumentException) {
        // Not the user's fault, so it must not look like a malformed request.
        log.error("unreadable record for path={}: {}", request.path, e.message)
        RequestRejection.RecordUnreadable.toUserAnswer()
    }
}
