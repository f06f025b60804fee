#include <burdockhead/http/httpclient.h>
#include <burdockhead/observe/eventtext.h>
#include <burdockhead/operators/operatorsprotocol.h>
#include <burdockhead/operators/timelinecollector.h>

#include <condition_variable>
#include <mutex>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;

// What one process has answered.
struct Answer
{
    std::string m_body;
    HttpOutcome m_outcome;
};

// The answers of all processes; each is written by the client's thread alone until it is
// counted as done.
class Answers
{
public:
    explicit Answers(std::size_t count)
        : m_answers(count)
        , m_open(count)
    {}

    HttpCallHandlers handlersFor(std::size_t index)
    {
        HttpCallHandlers handlers;
        handlers.m_onData = [this, index](std::string_view data) {
            m_answers[index].m_body += data;
        };
        handlers.m_onDone = [this, index](const HttpOutcome &outcome) {
            const std::scoped_lock lock(m_mutex);
            m_answers[index].m_outcome = outcome;
            --m_open;
            m_changed.notify_all();
        };
        return handlers;
    }

    const std::vector<Answer> &wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_open == 0; });
        return m_answers;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Answer> m_answers;
    std::size_t m_open;
};

std::string reasonOf(const Answer &answer)
{
    if (!answer.m_outcome.m_completed)
        return answer.m_outcome.m_reason;
    if (answer.m_outcome.m_status != statusOk)
        return "status " + std::to_string(answer.m_outcome.m_status);
    return "the answer is not a time line";
}

} // namespace

CollectedTimeline collectTimeline(const std::vector<MemberAddress> &members,
                                  const EventFilter &filter, TimePoint deadline)
{
    Answers answers(members.size());
    const std::string query = "?" + filter.toQuery();
    HttpClient client;
    for (std::size_t index = 0; index < members.size(); ++index) {
        HttpCall call;
        call.m_url = "http://" + members[index].m_operators.toString() + timelinePath + query;
        call.m_deadline = deadline;
        client.start(std::move(call), answers.handlersFor(index));
    }
    const std::vector<Answer> &all = answers.wait();
    CollectedTimeline timeline;
    std::vector<std::vector<Event>> lists;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const HttpOutcome &outcome = all[index].m_outcome;
        const bool isWhole = outcome.m_completed && outcome.m_status == statusOk;
        auto events = isWhole ? eventsFromJsonLines(all[index].m_body) : std::nullopt;
        if (events)
            lists.push_back(std::move(*events));
        else
            timeline.m_unreachable.push_back({members[index], reasonOf(all[index])});
    }
    timeline.m_events = mergeEvents(lists);
    return timeline;
}

} // namespace burdockhead
