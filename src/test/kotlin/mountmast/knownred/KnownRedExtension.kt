package mountmast.knownred

import org.junit.jupiter.api.Assertions.fail
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import org.opentest4j.TestAbortedException
import java.lang.reflect.Method

/**
 * Lets the build succeed although tests of a [KnownRedList] fail. The failure of a listed test is printed and reported as skipped; a
 * listed test that passes or is aborted is reported as failed, so that it is removed from the list. A list with problems fails every
 * test class.
 *
 * Only failures of the test function itself are accepted: a failure to set up its class is reported as usual.
 */
class KnownRedExtension(private val loadList: () -> KnownRedList) :
    BeforeAllCallback,
    InvocationInterceptor {
    /** Called by JUnit, which finds this class through `META-INF/services`. */
    constructor() : this({ projectList })

    override fun beforeAll(context: ExtensionContext) {
        val problems = loadList().problems
        if (problems.isNotEmpty()) fail<Unit>("${KnownRedList.PROJECT_FILE}: ${problems.joinToString("; ")}")
    }

    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void>,
        method: ReflectiveInvocationContext<Method>,
        context: ExtensionContext,
    ) {
        val knownRed = loadList().find(TestName(method.targetClass.name, method.executable.name))
        if (knownRed == null) invocation.proceed() else expectFailure(invocation, knownRed)
    }

    private fun expectFailure(invocation: InvocationInterceptor.Invocation<Void>, knownRed: KnownRed) {
        val failure = runCatching { invocation.proceed() }.exceptionOrNull()
        if (failure == null) fail<Unit>("passes, but is listed in ${KnownRedList.PROJECT_FILE}: $knownRed")
        if (failure is TestAbortedException) fail<Unit>("did not run, but is listed in ${KnownRedList.PROJECT_FILE}: $knownRed")
        println("KNOWN RED $knownRed: $failure")
        throw TestAbortedException("known red: $knownRed", failure)
    }

    private companion object {
        val projectList by lazy { KnownRedList.read(KnownRedList.PROJECT_FILE) }
    }
}
