/** Names of the faults that more than one kind of stand-in knows; PROTOCOLS.md lists them all. */
package pistachiopass.standins.fault

/** The process exits at once. */
public const val KILL: String = "kill"

/** Nothing is answered until the fault is switched off. */
public const val FREEZE: String = "freeze"

/** Connections open at the moment of switching carry nothing more but stay open. */
public const val SILENCE: String = "silence"

/** Each answer or chunk is delayed. */
public const val SLOW: String = "slow"

/** The connection is closed after a number of bytes of the answer, its head included. */
public const val TRUNCATE: String = "truncate"

/** The connection is reset, before or after the request ran. */
public const val RESET: String = "reset"

/** The faults that every stand-in offers. */
public val GENERIC_FAULTS: Set<String> = setOf(KILL, FREEZE, SILENCE, SLOW)

/** The phase of [RESET] in which the request has not run. */
public const val PHASE_BEFORE: String = "before"

/** The phase of [RESET] in which the request has run and its answer is lost. */
public const val PHASE_AFTER: String = "after"
