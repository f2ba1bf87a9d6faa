package mountmast

import mountmast.transport.HttpCaller
import mountmast.transport.NoAnswerException
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/** Executes the commands of the command line that send one request to a running node, and prints the node's response. */
internal class NodeClient {
    /**
     * Sends [command] (`submit`, `status` or `cancel`) to the node at [address] (`HOST:PORT`). [argument] is the file of the job for
     * `submit`, with `-` for standard input, and the job's id for `status` and `cancel`. Returns the [ExitCode].
     */
    fun run(command: String, argument: String, address: String): Int {
        val node = parseAddress(address) ?: return printUsageError("--node: not HOST:PORT")
        return when (command) {
            "submit" -> submit(node, argument)
            "status" -> send(node, "GET", "/v1/jobs/$argument", null)
            else -> send(node, "POST", "/v1/jobs/$argument/cancel", ByteArray(0))
        }
    }

    private fun parseAddress(address: String): InetSocketAddress? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull()
        return if (colon <= 0 || port == null || port !in 1..65535) null else InetSocketAddress(address.substring(0, colon), port)
    }

    private fun submit(node: InetSocketAddress, file: String): Int {
        val body = try {
            if (file == "-") System.`in`.readBytes() else File(file).readBytes()
        } catch (e: IOException) {
            return printUsageError("cannot read $file: ${e.message}")
        }
        return send(node, "POST", "/v1/jobs", body)
    }

    private fun send(node: InetSocketAddress, method: String, path: String, body: ByteArray?): Int {
        val response = try {
            HttpCaller().call(node, method, path, body, TIMEOUT_MS)
        } catch (e: NoAnswerException) {
            return printFailure("no answer from $node: ${e.message}; check the address or try another node")
        }
        val status = response.status
        if (status !in 200..201) return printFailure("$node refused with $status: ${response.text}; ${retryAdvice(status)}")
        println(response.text)
        return ExitCode.DONE
    }

    private fun retryAdvice(status: Int): String =
        if (status == 429 || status >= 500) "try again in a second, or another node" else "this will not change by trying again"

    private companion object {
        const val TIMEOUT_MS = 5000
    }
}
