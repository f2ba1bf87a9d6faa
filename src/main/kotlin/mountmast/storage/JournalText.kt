package mountmast.storage

import mountmast.protocol.Attempt
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.TaskId
import mountmast.protocol.WorkerIncarnation
import mountmast.protocol.Zone
import java.util.BitSet

/** How an attempt at a task ended. The marks are part of the contract between versions, see [JournalText]. */
enum class TaskEnd(val mark: Char) {
    /** It completed. */
    DONE('!'),

    /** It has to run again. */
    UNDONE('-'),

    /** It has to run again, since it was preempted. */
    PREEMPTED('~'),
}

/** Receives the entries of a journal or snapshot in the order in which they were written. */
interface JournalReader {
    /** The tasks of [job] in [ranges], in the form of [Ranges], are done. */
    fun done(job: JobId, ranges: String)

    /** [task] was preempted [times] times. */
    fun preemptedBefore(task: TaskId, times: Int)

    /** [task] was assigned to [machine], so that it may run there. */
    fun started(task: TaskId, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone)

    /** The latest attempt at [task] has ended. */
    fun ended(task: TaskId, end: TaskEnd)

    /** [machine] is reserved for [job], and [victims] are stopped for that. */
    fun reserved(machine: MachineId, job: JobId, victims: List<TaskId>)
}

/**
 * Changes of assignments as text: one record holds hundreds of them, since the state service counts writes, not bytes. Entries end
 * with a semicolon, which names of machines and zones never contain (see [MachineId]). Not thread-safe.
 *
 * The marks, the separators and the order of an entry's fields are part of the contract between versions: a version skips entries
 * with a mark that it does not know, and would lose what they say.
 */
class JournalText {
    private val text = StringBuilder()

    /** Characters so far. */
    val length: Int get() = text.length

    fun done(job: JobId, ranges: String) = entry(DONE).append(job.text).append(FIELD_END).append(ranges).append(ENTRY_END).done()

    fun preemptedBefore(task: String, times: Int) =
        entry(PREEMPTED_BEFORE).append(task).append(FIELD_END).append(times).append(ENTRY_END).done()

    fun started(task: String, machine: MachineId, incarnation: WorkerIncarnation, attempt: Attempt, zone: Zone) =
        entry(STARTED).append(task).append(FIELD_END).append(machine.text).append(FIELD_END).append(incarnation.number.toString())
            .append(FIELD_END).append(attempt.number.toString()).append(FIELD_END).append(zone.text).append(ENTRY_END).done()

    fun ended(task: String, end: TaskEnd) = entry(end.mark).append(task).append(ENTRY_END).done()

    fun reserved(machine: MachineId, job: JobId, victims: List<String>) {
        entry(RESERVED).append(machine.text).append(FIELD_END).append(job.text)
        victims.forEach { text.append(FIELD_END).append(it) }
        text.append(ENTRY_END)
    }

    private fun entry(mark: Char) = text.append(mark)

    private fun StringBuilder.done() = Unit

    /** Returns the text so far and begins a new one. */
    fun take(): String = text.toString().also { text.setLength(0) }

    companion object {
        private const val DONE = '='
        private const val PREEMPTED_BEFORE = '%'
        private const val STARTED = '+'
        private const val RESERVED = 'x'
        private const val FIELD_END = ' '
        private const val ENTRY_END = ';'
        private const val STARTED_FIELDS = 5

        /** Passes the entries of [text] to [reader]; returns how many could not be read. */
        fun read(text: String, reader: JournalReader): Int {
            var unreadable = 0
            var from = 0
            while (from < text.length) {
                val to = text.indexOf(ENTRY_END, from).let { if (it < 0) text.length else it }
                if (to > from && !readEntry(text[from], text.substring(from + 1, to), reader)) unreadable++
                from = to + 1
            }
            return unreadable
        }

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

/** Sets of task numbers written as ranges, such as `0-4,7`. The form is part of the contract between versions, as it is in the journal. */
object Ranges {
    /** Returns the ranges of [set] in texts of about [maxLength] characters at most. */
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

    /** Sets the bits that [text] names in [set]; returns false if it is malformed or names a number outside 0 until [size]. */
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
