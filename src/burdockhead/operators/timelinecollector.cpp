#include <burdockhead/http/httpclient.h>
#include <burdockhead/observe/eventtext.h>
#include <burdockhead/operators/operatorsprotocol.h>
#include <burdockhead/operators/timelinecollector.h>

#include <condition_variable>
#include <mutex>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;

// The response of one process.
struct TimelineResponse
{
    std::string m_body;
    HttpOutcome m_outcome;
};

// The responses of all processes. Each response is written only by the HTTP client's thread
// until it is counted as done.
class TimelineResponses
{
public:
    explicit TimelineResponses(std::size_t count)
        : m_responses(count)
        , m_pendingCount(count)
    {}

    HttpCallHandlers handlersFor(std::size_t index)
    {
        HttpCallHandlers handlers;
        handlers.m_onData = [this, index](std::string_view data) {
            m_responses[index].m_body += data;
        };
        handlers.m_onDone = [this, index](const HttpOutcome &outcome) {
            const std::scoped_lock lock(m_mutex);
            m_responses[index].m_outcome = outcome;
            --m_pendingCount;
            m_responseDone.notify_all();
        };
        return handlers;
    }

    const std::vector<TimelineResponse> &waitForAll()
    {
        std::unique_lock lock(m_mutex);
        m_responseDone.wait(lock, [this] { return m_pendingCount == 0; });
        return m_responses;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_responseDone;
    std::vector<TimelineResponse> m_responses;
    std::size_t m_pendingCount;
};

std::string failureReason(const TimelineResponse &response)
{
    if (!response.m_outcome.m_completed)
        return response.m_outcome.m_reason;
    if (response.m_outcome.m_status != statusOk)
        return "status " + std::to_string(response.m_outcome.m_status);
    return "the response is not a timeline";
}

} // namespace

CollectedTimeline collectTimeline(const std::vector<MemberAddress> &members,
                                  const EventFilter &filter, TimePoint deadline)
{
    TimelineResponses pendingResponses(members.size());
    const std::string query = "?" + filter.toQuery();
    HttpClient client;
    for (std::size_t index = 0; index < members.size(); ++index) {
        HttpClientCall call;
        call.m_url = "http://" + members[index].m_operatorAddress.toString() + timelinePath + query;
        call.m_deadline = deadline;
        client.start(std::move(call), pendingResponses.handlersFor(index));
    }
    const std::vector<TimelineResponse> &responses = pendingResponses.waitForAll();
    CollectedTimeline timeline;
    std::vector<std::vector<Event>> eventLists;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const HttpOutcome &outcome = responses[index].m_outcome;
        const bool isComplete = outcome.m_completed && outcome.m_status == statusOk;
        auto events = isComplete ? eventsFromJsonLines(responses[index].m_body) : std::nullopt;
        if (events)
            eventLists.push_back(std::move(*events));
        else
            timeline.m_unreachable.push_back({members[index], failureReason(responses[index])});
    }
    timeline.m_events = mergeEvents(eventLists);
    return timeline;
}

} // namespace burdockhead
