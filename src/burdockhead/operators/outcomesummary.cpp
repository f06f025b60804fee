#include <burdockhead/base/errorkind.h>
#include <burdockhead/operators/outcomesummary.h>
#include <burdockhead/settings/valuetext.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <numeric>

namespace burdockhead {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

// Heading in the table and colour in the chart of an outcome.
struct OutcomeStyle
{
    const char *m_heading;
    const char *m_colour;
};

// In the order of RequestOutcome.
constexpr std::array<OutcomeStyle, requestOutcomeCount> styles = {{
    {"in_time", "#5aa469"},
    {"late_age", "#f6d860"},
    {"late_queued", "#f2a541"},
    {"late_first", "#e8743b"},
    {"late_pause", "#c44536"},
    {"refused", "#6d597a"},
    {"failed", "#1d1d1d"},
    {"cancelled", "#9aa5b1"},
    {"rejected", "#d8dee6"},
}};

// Sizes of the chart in pixels.
constexpr std::size_t barWidth = 12;
constexpr std::size_t barGap = 2;
constexpr std::size_t chartHeight = 300;
constexpr std::size_t legendWidth = 110;
constexpr std::size_t legendLineHeight = 18;
constexpr std::size_t axisHeight = 20;
constexpr std::int64_t labelInterval = 5; // Seconds between two labels.

Milliseconds timeField(const LogRecord &record, const char *key)
{
    const auto value = readNumber(record.field(key), 0, std::numeric_limits<std::int64_t>::max());
    return Milliseconds(static_cast<std::int64_t>(value.value_or(0)));
}

bool isClientFault(const std::string &outcome)
{
    constexpr std::array kinds = {ErrorKind::MalformedRequest, ErrorKind::UnknownPath,
                                  ErrorKind::InvalidCredential, ErrorKind::RequestTooLarge};
    return std::any_of(kinds.begin(), kinds.end(),
                       [&](ErrorKind kind) { return outcome == toString(kind); });
}

RequestOutcome servedOutcome(const LogRecord &ended, const OutcomeObjectives &objectives)
{
    const Milliseconds earlier = timeField(ended, "age_ms");
    const Milliseconds queued = timeField(ended, "queued_ms");
    Milliseconds firstEvent = timeField(ended, "first_event_ms");
    if (firstEvent.count() == 0) // Not a stream.
        firstEvent = timeField(ended, "elapsed_ms") - queued;
    if (earlier + queued + firstEvent > objectives.m_firstEvent) {
        if (earlier >= std::max(queued, firstEvent))
            return RequestOutcome::LateEarlierAttempts;
        return queued >= firstEvent ? RequestOutcome::LateQueued : RequestOutcome::LateFirstEvent;
    }
    return timeField(ended, "pause_ms") > objectives.m_pause ? RequestOutcome::LatePause
                                                             : RequestOutcome::InTime;
}

RequestOutcome outcomeOf(const LogRecord &ended, const OutcomeObjectives &objectives)
{
    const std::string outcome = ended.field("outcome");
    if (outcome == "served")
        return servedOutcome(ended, objectives);
    if (outcome == "refused")
        return RequestOutcome::Refused;
    if (outcome == "cancelled")
        return RequestOutcome::Cancelled;
    return isClientFault(outcome) ? RequestOutcome::Rejected : RequestOutcome::Failed;
}

} // namespace

OutcomeSummary::OutcomeSummary(const std::vector<LogRecord> &records,
                               const OutcomeObjectives &objectives)
{
    for (const LogRecord &record : records) {
        if (record.m_event == "ended")
            addRequest(record, objectives);
        else if (record.m_event == "map_in_use")
            ++m_seconds[record.m_time / millisecondsPerSecond].m_mapChanges;
    }
}

void OutcomeSummary::addRequest(const LogRecord &ended, const OutcomeObjectives &objectives)
{
    const std::int64_t arrivedAt = ended.m_time - timeField(ended, "elapsed_ms").count();
    Second &second = m_seconds[arrivedAt / millisecondsPerSecond];
    ++second.m_counts[static_cast<std::size_t>(outcomeOf(ended, objectives))];
    second.m_queueingTime += timeField(ended, "queued_ms");
}

std::string OutcomeSummary::toText() const
{
    std::string text = fmt::format("{:>6}", "second");
    for (const OutcomeStyle &style : styles)
        text += fmt::format("{:>12}", style.m_heading);
    text += fmt::format("{:>16}{:>6}\n", "mean_queued_ms", "maps");
    const auto addLine = [&text](const std::string &label, const Second &second) {
        text += fmt::format("{:>6}", label);
        for (const std::size_t count : second.m_counts)
            text += fmt::format("{:>12}", count);
        const std::size_t requests =
            std::accumulate(second.m_counts.begin(), second.m_counts.end(), std::size_t(0));
        text += fmt::format("{:>16}{:>6}\n",
                            second.m_queueingTime.count()
                                / static_cast<std::int64_t>(std::max<std::size_t>(requests, 1)),
                            second.m_mapChanges);
    };
    Second sum;
    for (const auto &[time, second] : m_seconds) {
        addLine(std::to_string(time - m_seconds.begin()->first), second);
        for (std::size_t outcome = 0; outcome < requestOutcomeCount; ++outcome)
            sum.m_counts[outcome] += second.m_counts[outcome];
        sum.m_queueingTime += second.m_queueingTime;
        sum.m_mapChanges += second.m_mapChanges;
    }
    addLine("all", sum);
    return text;
}

std::string OutcomeSummary::toSvg() const
{
    std::size_t most = 1;
    for (const auto &[time, second] : m_seconds)
        most = std::max(
            most, std::accumulate(second.m_counts.begin(), second.m_counts.end(), std::size_t(0)));
    const std::int64_t first = m_seconds.empty() ? 0 : m_seconds.begin()->first;
    const std::size_t seconds =
        m_seconds.empty() ? 0 : static_cast<std::size_t>(m_seconds.rbegin()->first - first + 1);
    const std::size_t chartWidth = seconds * (barWidth + barGap);
    const double pixelsPerRequest = static_cast<double>(chartHeight) / static_cast<double>(most);
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
                                  "height=\"{}\" font-family=\"sans-serif\" font-size=\"11\">\n",
                                  chartWidth + legendWidth, chartHeight + axisHeight);
    for (const auto &[time, second] : m_seconds) {
        const std::size_t x = static_cast<std::size_t>(time - first) * (barWidth + barGap);
        auto y = static_cast<double>(chartHeight);
        for (std::size_t outcome = 0; outcome < requestOutcomeCount; ++outcome) {
            const double height = pixelsPerRequest * static_cast<double>(second.m_counts[outcome]);
            if (height == 0)
                continue;
            y -= height;
            svg += fmt::format("<rect x=\"{}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
                               "fill=\"{}\"/>\n",
                               x, y, barWidth, height, styles[outcome].m_colour);
        }
        if ((time - first) % labelInterval == 0)
            svg += fmt::format("<text x=\"{}\" y=\"{}\">{} s</text>\n", x,
                               chartHeight + axisHeight - barGap, time - first);
    }
    for (std::size_t outcome = 0; outcome < requestOutcomeCount; ++outcome) {
        const std::size_t y = outcome * legendLineHeight;
        svg += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\"/>"
                           "<text x=\"{}\" y=\"{}\">{}</text>\n",
                           chartWidth + barWidth, y, barWidth, barWidth, styles[outcome].m_colour,
                           chartWidth + 2 * barWidth + barGap, y + barWidth - barGap,
                           styles[outcome].m_heading);
    }
    return svg + "</svg>\n";
}

} // namespace burdockhead
