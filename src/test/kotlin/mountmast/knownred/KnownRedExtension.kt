package mountmast.knownred

import org.junit.jupiter.api.Assertions.fail
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import org.opentest4j.TestAbortedException
import java.lang.reflect.Method

/**
 * Lets the build pass over the tests of a [KnownRedList], and over no others. A listed test that fails is printed and reported
 * as skipped; one that passes fails, so that it is taken off the list. A list that is not in order fails every test class.
 *
 * Only the test function itself may fail: a failure to set up its class is reported as ever.
 */
class KnownRedExtension(private val list: () -> KnownRedList) :
    BeforeAllCallback,
    InvocationInterceptor {
    /** Used by JUnit, which finds this class through `META-INF/services`. */
    constructor() : this({ projectList })

    override fun beforeAll(context: ExtensionContext) {
        val problems = list().problems
        if (problems.isNotEmpty()) fail<Unit>("${KnownRedList.PROJECT_FILE}: ${problems.joinToString("; ")}")
    }

    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void>,
        method: ReflectiveInvocationContext<Method>,
        context: ExtensionContext,
    ) {
        val knownRed = list().find(TestName(method.targetClass.name, method.executable.name))
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
