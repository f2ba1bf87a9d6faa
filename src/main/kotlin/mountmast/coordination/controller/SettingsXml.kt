package mountmast.coordination.controller

import mountmast.protocol.InvalidSettingsException
import java.io.InputStream
import javax.xml.stream.XMLInputFactory
import javax.xml.stream.XMLStreamConstants
import javax.xml.stream.XMLStreamException
import javax.xml.stream.XMLStreamReader

/**
 * Reads the elements of a settings file and their values from [input]. Each function throws [InvalidSettingsException] if what it
 * reads is invalid; the message gives the line, and names the file [name].
 */
internal class SettingsXml(private val name: String, input: InputStream) {
    private val xml: XMLStreamReader = XMLInputFactory.newFactory().apply {
        // A settings file must not make this process read other files or addresses.
        setProperty(XMLInputFactory.SUPPORT_DTD, false)
        setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false)
    }.createXMLStreamReader(input)
    private val seenElements = HashSet<String>()

    /** Reads the whole document, whose root must be [root]; calls [readChild] with the name of each child of the root. */
    fun readRoot(root: String, readChild: (String) -> Unit) = try {
        xml.nextTag()
        if (xml.localName != root) reject("the root is not <$root>")
        readChildren(readChild)
    } catch (e: XMLStreamException) {
        throw InvalidSettingsException("$name, line ${e.location?.lineNumber ?: 0}: not well-formed XML")
    }

    /** Calls [readChild] with the name of each child of the current element; [readChild] must read the child to its end. */
    fun readChildren(readChild: (String) -> Unit) {
        while (true) {
            when (xml.next()) {
                XMLStreamConstants.START_ELEMENT -> readChild(xml.localName)
                XMLStreamConstants.END_ELEMENT -> return
                XMLStreamConstants.CHARACTERS -> if (!xml.isWhiteSpace) reject("text where only elements may be")
            }
        }
    }

    /** Rejects [element] if this function was called with it before. */
    fun rejectDuplicate(element: String) {
        if (!seenElements.add(element)) reject("<$element> is there twice")
    }

    /** Returns the attribute [name] of the current element, or null if the element has no such attribute. */
    fun readAttribute(name: String): String? = xml.getAttributeValue(null, name)

    /** Reads the current [element], which may hold text only, to its end; returns its trimmed text. */
    fun readText(element: String): String = try {
        xml.elementText.trim()
    } catch (e: XMLStreamException) {
        reject("<$element> must hold a value only")
    }

    /** Reads the current [element] as a number from [min] to [max]. */
    fun readNumber(element: String, min: Double, max: Double): Double =
        readText(element).toDoubleOrNull()?.takeIf { it in min..max } ?: reject("<$element> must be a number from $min to $max")

    /** Reads the current [element] as a whole number from [min] to [max]. */
    fun readWholeNumber(element: String, min: Int, max: Int): Int =
        readText(element).toIntOrNull()?.takeIf { it in min..max } ?: reject("<$element> must be a whole number from $min to $max")

    /** Reads the current [element] as seconds from [minS] to [maxS]; returns milliseconds. */
    fun readMilliseconds(element: String, minS: Double, maxS: Double): Long = (readNumber(element, minS, maxS) * 1000).toLong()

    /** Rejects [element], which is not one of the settings. */
    fun rejectUnknown(element: String): Nothing = reject("unknown element <$element>")

    /** Rejects the settings for [reason], at the current line. */
    fun reject(reason: String): Nothing = throw InvalidSettingsException("$name, line ${xml.location.lineNumber}: $reason")
}
