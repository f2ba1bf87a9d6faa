package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.transport.UserAnswer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.jobs")

/** Serves users' requests, and forwards to another node those for which this node does not reach the state service. Thread-safe. */
internal class RequestForwarder(private val localNode: HostNode) {
    /**
     * Serves [request] by calling [serve]. If [serve] fails because the state service does not answer, forwards the request to another
     * node, unless it was already forwarded to this node. If no node can serve it, rejects it as one to be sent again later.
     */
    fun serveOrForward(request: ForwardedRequest, isForwarded: Boolean, serve: () -> RequestOutcome): UserAnswer = try {
        serve().toUserAnswer()
    } catch (e: StoreRequestRejectedException) {
        // Not forwarded, because the state service would reject the same record from every other node.
        log.debug("the state service rejected the job record of a user's request, request path={}: {}", request.path, e.message)
        RequestRejection.RecordRejectedByStore.toUserAnswer()
    } catch (e: StoreException) {
        val forwarded = if (isForwarded) null else localNode.forward(request)
        forwarded ?: RequestRejection.StoreUnavailable.toUserAnswer()
    } catch (e: IllegalArgumentException) {
        // The stored record is at fault, not the request, so the answer must differ from that to a malformed request.
        log.error("cannot decode a stored record that a user's request needs, request path={}: {}", request.path, e.message)
        RequestRejection.RecordUnreadable.toUserAnswer()
    }
}
