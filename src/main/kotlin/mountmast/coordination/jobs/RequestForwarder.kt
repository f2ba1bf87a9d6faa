package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.storage.StateStore
import mountmast.storage.StoreException
import mountmast.storage.StoreRequestRejectedException
import mountmast.transport.UserAnswer
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.jobs")

/** Serves users' requests, and forwards to another node those for which this node does not reach the state service. Thread-safe. */
internal class RequestForwarder(private val localNode: HostNode, private val store: StateStore) {
    /**
     * Serves [request] by calling [serve]. If the state service does not answer, forwards the request to another node, unless it was
     * already forwarded to this node. If no node can serve it, rejects it as one to be sent again later.
     *
     * While the state service is known not to be reachable, a call to it would last as long as the user waits. The request is then
     * forwarded first, and one that was forwarded to this node is rejected at once, so that its sender can try another node. If no node
     * takes the request, it is rejected at once too, unless this node is ready: then no node is known to serve users, and the state
     * service is tried in case it just answers again.
     */
    fun serveOrForward(request: ForwardedRequest, isForwarded: Boolean, serve: () -> RequestOutcome): UserAnswer {
        if (store.isReachable) return serveLocally(request, serve) ?: forwardOrReject(request, isForwarded)
        if (isForwarded) return RequestRejection.StoreUnavailable.toUserAnswer()
        val answer = localNode.forward(request) ?: if (localNode.isReady()) serveLocally(request, serve) else null
        return answer ?: RequestRejection.StoreUnavailable.toUserAnswer()
    }

    private fun forwardOrReject(request: ForwardedRequest, isForwarded: Boolean): UserAnswer {
        val forwarded = if (isForwarded) null else localNode.forward(request)
        return forwarded ?: RequestRejection.StoreUnavailable.toUserAnswer()
    }

    /** Serves [request] by calling [serve]; returns null if the state service does not answer. */
    private fun serveLocally(request: ForwardedRequest, serve: () -> RequestOutcome): UserAnswer? = try {
        serve().toUserAnswer()
    } catch (e: StoreRequestRejectedException) {
        // Not forwarded, because the state service would reject the same record from every other node.
        log.debug("the state service rejected the job record of a user's request, request path={}: {}", request.path, e.message)
        RequestRejection.RecordRejectedByStore.toUserAnswer()
    } catch (e: StoreException) {
        log.debug("the state service did not answer a user's request, request path={}: {}", request.path, e.message)
        null
    } catch (e: IllegalArgumentException) {
        // The stored record is at fault, not the request, so the answer must differ from that to a malformed request.
        log.error("cannot decode a stored record that a user's request needs, request path={}: {}", request.path, e.message)
        RequestRejection.RecordUnreadable.toUserAnswer()
    }
}
