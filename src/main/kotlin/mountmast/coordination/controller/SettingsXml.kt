package mountmast.coordination.controller

import mountmast.protocol.InvalidSettingsException
import java.io.InputStream
import javax.xml.stream.XMLInputFactory
import javax.xml.stream.XMLStreamConstants
import javax.xml.stream.XMLStreamException
import javax.xml.stream.XMLStreamReader

/**
 * Reads elements and their values from [input], and rejects what is wrong with the line where it stands. Every function
 * throws [InvalidSettingsException]; [name] stands for the input in its messages.
 */
internal class SettingsXml(private val name: String, input: InputStream) {
    private val xml: XMLStreamReader = XMLInputFactory.newFactory().apply {
        // A settings file has no business fetching anything.
        setProperty(XMLInputFactory.SUPPORT_DTD, false)
        setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false)
    }.createXMLStreamReader(input)
    private val seen = HashSet<String>()

    /** Reads the whole document, whose root must be [root]; calls [readChild] with the name of each element below it. */
    fun readRoot(root: String, readChild: (String) -> Unit) = try {
        xml.nextTag()
        if (xml.localName != root) reject("the root is not <$root>")
        readChildren(readChild)
    } catch (e: XMLStreamException) {
        throw InvalidSettingsException("$name, line ${e.location?.lineNumber ?: 0}: not well-formed XML")
    }

    /** Calls [readChild] with the name of each child of the present element; it must read the child to its end. */
    fun readChildren(readChild: (String) -> Unit) {
        while (true) {
            when (xml.next()) {
                XMLStreamConstants.START_ELEMENT -> readChild(xml.localName)
                XMLStreamConstants.END_ELEMENT -> return
                XMLStreamConstants.CHARACTERS -> if (!xml.isWhiteSpace) reject("text where only elements may be")
            }
        }
    }

    /** Rejects [element] if it was read before. */
    fun requireFirst(element: String) {
        if (!seen.add(element)) reject("<$element> is there twice")
    }

    /** The attribute [name] of the present element, or null if it has none. */
    fun attribute(name: String): String? = xml.getAttributeValue(null, name)

    /** Reads the text of the present [element] to its end. */
    fun text(element: String): String = try {
        xml.elementText.trim()
    } catch (e: XMLStreamException) {
        reject("<$element> must hold a value only")
    }

    /** Reads the present [element] as a number from [least] to [most]. */
    fun number(element: String, least: Double, most: Double): Double =
        text(element).toDoubleOrNull()?.takeIf { it in least..most } ?: reject("<$element> must be a number from $least to $most")

    /** Reads the present [element] as a whole number from [least] to [most]. */
    fun wholeNumber(element: String, least: Int, most: Int): Int =
        text(element).toIntOrNull()?.takeIf { it in least..most } ?: reject("<$element> must be a whole number from $least to $most")

    /** Reads the present [element] as seconds from [leastS] to [mostS]; returns milliseconds. */
    fun milliseconds(element: String, leastS: Double, mostS: Double): Long = (number(element, leastS, mostS) * 1000).toLong()

    /** Rejects an element that the settings do not know. */
    fun rejectUnknown(element: String): Nothing = reject("unknown element <$element>")

    /** Rejects the settings because of [why], at the present line. */
    fun reject(why: String): Nothing = throw InvalidSettingsException("$name, line ${xml.location.lineNumber}: $why")
}
