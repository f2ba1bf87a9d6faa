package mountmast.standin

/** Returns the seeds 1 to [count] of random days, or 1 to N with `-Dmountmast.days=N`, or only N with `-Dmountmast.seed=N`. */
fun daySeeds(count: Int): LongRange = System.getProperty("mountmast.seed")?.toLong()?.let { it..it }
    ?: 1L..(System.getProperty("mountmast.days")?.toLong() ?: count.toLong())
