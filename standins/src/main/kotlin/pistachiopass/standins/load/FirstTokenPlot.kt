/** Draws the time to first token per band as SVG. */
package pistachiopass.standins.load

import java.util.Locale

/** Returns an SVG bar chart of the median and the 95th percentile of each band. */
public fun LoadTestReport.firstTokenPlot(): String {
    val topMillis = bands.maxOf { it.p95Millis }.coerceAtLeast(1.0)
    return buildString {
        appendLine("""<svg xmlns="http://www.w3.org/2000/svg" width="600" height="${bands.size * ROW_PIXELS}">""")
        appendLine("""<g font-family="sans-serif" font-size="12">""")
        bands.forEachIndexed { index, band ->
            val y = index * ROW_PIXELS
            appendLine("""<text x="4" y="${y + TEXT_PIXELS}">${band.band}</text>""")
            bar(y, "p95", "#9cb4cc", band.p95Millis, topMillis)
            bar(y + BAR_PIXELS, "p50", "#38618c", band.p50Millis, topMillis)
        }
        appendLine("</g></svg>")
    }
}

private fun StringBuilder.bar(y: Int, name: String, colour: String, millis: Double, topMillis: Double) {
    val width = (millis / topMillis * PLOT_PIXELS).toInt()
    val label = String.format(Locale.ROOT, "%s %.0f ms", name, millis)
    appendLine("""<rect x="$LEFT_PIXELS" y="$y" width="$width" height="$BAR_PIXELS" fill="$colour"/>""")
    appendLine("""<text x="${LEFT_PIXELS + width + GAP_PIXELS}" y="${y + TEXT_PIXELS}">$label</text>""")
}

private const val ROW_PIXELS: Int = 44
private const val BAR_PIXELS: Int = 18
private const val TEXT_PIXELS: Int = 14
private const val LEFT_PIXELS: Int = 80
private const val PLOT_PIXELS: Int = 400
private const val GAP_PIXELS: Int = 4
