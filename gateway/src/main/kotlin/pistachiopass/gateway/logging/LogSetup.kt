/**
 * Configuration of the log, made in code: reading a configuration file and its layout templates takes a quarter of the
 * processor time of a start.
 *
 * Events are written by a separate thread. If the reader of standard output stops, the queue fills up and events are
 * dropped and counted, so that a request never waits for logging.
 */
package pistachiopass.gateway.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Appender
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.Configuration
import org.apache.logging.log4j.core.config.ConfigurationFactory
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.LoggerConfig
import pistachiopass.entry.logging.EVENT_LOGGER

/** Installs the configuration; to be called before the first use of a logger. */
public fun setUpLogging(): Unit = ConfigurationFactory.setConfigurationFactory(LogConfigurationFactory)

private object LogConfigurationFactory : ConfigurationFactory() {
    override fun getSupportedTypes(): Array<String> = emptyArray()

    override fun getConfiguration(context: LoggerContext, source: ConfigurationSource?): Configuration =
        LogConfiguration(context)

    override fun getConfiguration(context: LoggerContext, name: String?, location: java.net.URI?): Configuration =
        LogConfiguration(context)
}

/** Events go to standard output through a queue, warnings of libraries directly. */
private class LogConfiguration(context: LoggerContext) :
    AbstractConfiguration(context, ConfigurationSource.NULL_SOURCE) {
    // Without its own shutdown hook, Log4j still writes the events of a graceful stop.
    init {
        isShutdownHookEnabled = false
    }

    override fun doConfigure() {
        val console = added(
            ConsoleAppender.newBuilder()
                .setName("console")
                .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                .setDirect(true)
                .setLayout(EventLayout)
                .setConfiguration(this)
                .build(),
        )
        val events = added(
            AsyncAppender.newBuilder()
                .setName("events")
                .setBufferSize(QUEUED_EVENTS_MAX)
                .setBlocking(false)
                .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(console.name, null, null)))
                .setConfiguration(this)
                .build(),
        )
        val level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO)
        addLogger(EVENT_LOGGER, LoggerConfig(EVENT_LOGGER, level, false).also { it.addAppender(events, null, null) })
        addLogger(NETTY_LOGGER, LoggerConfig(NETTY_LOGGER, Level.ERROR, true))
        rootLogger.level = Level.WARN
        rootLogger.addAppender(console, null, null)
    }

    // The configuration starts its appenders itself. A queue that is started twice has two threads, of which only one
    // takes the mark that ends it, and the process never exits.
    private fun added(appender: Appender): Appender = appender.also(::addAppender)
}

private const val LEVEL_PROPERTY = "pistachiopass.logLevel"
private const val NETTY_LOGGER = "io.netty"

/** Some seconds of events of an instance under load. */
private const val QUEUED_EVENTS_MAX = 4_096
