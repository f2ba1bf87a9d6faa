package mountmast.storage

import mountmast.protocol.Attempt
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.TaskId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import java.util.BitSet

/** How an attempt at a task ended. [mark] begins the journal's entry for this end, and is part of the contract between versions. */
enum class TaskEnd(val mark: Char) {
    /** The task is done. */
    DONE('!'),

    /** The task has to run again. */
    UNDONE('-'),

    /** The task was preempted and has to run again. */
    PREEMPTED('~'),
}

/** Receives the entries of a journal or snapshot in the order in which they were written. */
interface JournalReader {
    /** The tasks of [job] whose indices are in [ranges], a text in the form of [Ranges], are done. */
    fun done(job: JobId, ranges: String)

    /** Attempts at [task] were preempted [times] times so far. */
    fun preemptedBefore(task: TaskId, times: Int)

    /** The leader assigned [task] to [machine] in [zone], so this [attempt] may run there under the worker's [incarnation]. */
    fun started(task: TaskId, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone)

    /** The latest attempt at [task] ended as [end] says. */
    fun ended(task: TaskId, end: TaskEnd)

    /** The leader reserved [machine] for [job] and preempts the tasks [victims] to free it. */
    fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>)
}

/**
 * Writes changes of assignments as entries of text, and reads them. A record of the journal holds hundreds of entries, since the
 * state service limits the number of writes, not their bytes. Each entry begins with a mark and ends with a semicolon, which names of
 * machines and zones never contain (see [MachineId]). Not thread-safe.
 *
 * The marks, the separators and the order of an entry's fields are part of the contract between versions. A version skips entries
 * whose mark it does not know, so it misses the changes in them.
 */
class JournalText {
    private val text = StringBuilder()

    /** Number of characters written since the last [take]. */
    val length: Int get() = text.length

    fun done(job: JobId, ranges: String) = beginEntry(DONE).append(job.text).append(FIELD_END).append(ranges).append(ENTRY_END).asUnit()

    fun preemptedBefore(task: String, times: Int) =
        beginEntry(PREEMPTED_BEFORE).append(task).append(FIELD_END).append(times).append(ENTRY_END).asUnit()

    fun started(task: String, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone) =
        beginEntry(STARTED).append(task).append(FIELD_END).append(machine.text).append(FIELD_END).append(incarnation.number.toString())
            .append(FIELD_END).append(attempt.number.toString()).append(FIELD_END).append(zone.text).append(ENTRY_END).asUnit()

    fun ended(task: String, end: TaskEnd) = beginEntry(end.mark).append(task).append(ENTRY_END).asUnit()

    fun reserved(machine: MachineId, job: JobId, victims: List<String>) {
        beginEntry(RESERVED).append(machine.text).append(FIELD_END).append(job.text)
        victims.forEach { text.append(FIELD_END).append(it) }
        text.append(ENTRY_END)
    }

    private fun beginEntry(mark: Char) = text.append(mark)

    private fun StringBuilder.asUnit() = Unit

    /** Returns the text written since the last call, and removes it from here. */
    fun take(): String = text.toString().also { text.setLength(0) }

    companion object {
        private const val DONE = '='
        private const val PREEMPTED_BEFORE = '%'
        private const val STARTED = '+'
        private const val RESERVED = 'x'
        private const val FIELD_END = ' '
        private const val ENTRY_END = ';'
        private const val STARTED_FIELDS = 5

        /**
         * Passes each entry of [text] to [reader] in order. Returns the number of entries that were skipped as unreadable. Throws
         * [IllegalArgumentException] if an entry names a machine or zone that is not a valid [MachineId] or [Zone].
         */
        fun read(text: String, reader: JournalReader): Int {
            var unreadableCount = 0
            var from = 0
            while (from < text.length) {
                val to = text.indexOf(ENTRY_END, from).let { if (it < 0) text.length else it }
                if (to > from && !readEntry(text[from], text.substring(from + 1, to), reader)) unreadableCount++
                from = to + 1
            }
            return unreadableCount
        }

        /** Returns false if the entry is malformed or its mark is unknown. */
        private fun readEntry(mark: Char, entry: String, reader: JournalReader): Boolean {
            val end = TaskEnd.entries.firstOrNull { it.mark == mark }
            if (end != null) {
                reader.ended(TaskId.parse(entry) ?: return false, end)
                return true
            }
            val fields = entry.split(FIELD_END, limit = if (mark == STARTED) STARTED_FIELDS else 0)
            if (fields.size < 2) return false
            when (mark) {
                DONE -> reader.done(JobId.parse(fields[0]) ?: return false, fields[1])
                PREEMPTED_BEFORE -> reader.preemptedBefore(TaskId.parse(fields[0]) ?: return false, fields[1].toIntOrNull() ?: return false)
                RESERVED -> reader.reserved(
                    MachineId(fields[0]),
                    JobId.parse(fields[1]) ?: return false,
                    fields.drop(2).mapNotNull(TaskId::parse),
                )
                STARTED -> {
                    if (fields.size != STARTED_FIELDS) return false
                    reader.started(
                        TaskId.parse(fields[0]) ?: return false,
                        MachineId(fields[1]),
                        WorkerIncarnation(fields[2].toULongOrNull() ?: return false),
                        Attempt(fields[3].toULongOrNull() ?: return false),
                        Zone(fields[4]),
                    )
                }
                else -> return false
            }
            return true
        }
    }
}

/** Sets of task indices as text, such as `0-4,7`. The journal contains such texts: their form is part of the contract between versions. */
object Ranges {
    /** Returns the ranges of [set], divided into texts that each end with the range that reaches [maxLength] characters. */
    fun encode(set: BitSet, maxLength: Int): List<String> {
        val texts = ArrayList<String>()
        val text = StringBuilder()
        var start = set.nextSetBit(0)
        while (start >= 0) {
            val end = set.nextClearBit(start) - 1
            if (text.isNotEmpty()) text.append(',')
            text.append(start)
            if (end > start) text.append('-').append(end)
            if (text.length >= maxLength) {
                texts += text.toString()
                text.setLength(0)
            }
            start = set.nextSetBit(end + 1)
        }
        if (text.isNotEmpty()) texts += text.toString()
        return texts
    }

    /**
     * Sets the bits that [text] names in [set]. Returns false if [text] is malformed or names an index outside 0 until [size]; the ranges
     * before the faulty one are set even so.
     */
    fun decodeInto(text: String, set: BitSet, size: Int): Boolean {
        for (part in text.split(',')) {
            val first = part.substringBefore('-').toIntOrNull() ?: return false
            val last = if ('-' in part) part.substringAfter('-').toIntOrNull() ?: return false else first
            if (first < 0 || last < first || last >= size) return false
            set.set(first, last + 1)
        }
        return true
    }
}
