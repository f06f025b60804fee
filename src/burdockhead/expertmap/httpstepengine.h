#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/stepengine.h>
#include <burdockhead/http/httpclient.h>

#include <string>

namespace burdockhead {

// Client of a rank's engine over HTTP: the orders "step_gate" and "stage_map", and
// GET /expert-map. Calls block until the response or the timeout.
class HttpStepEngine : public StepEngine
{
public:
    // The URL consists of scheme, host and port. The client must outlive this object.
    HttpStepEngine(HttpClient &client, std::string url, Milliseconds timeout);

    std::optional<StepEngineState> read() override;
    std::optional<StepEngineState> store(const VoteRecord &record) override;
    bool stage(const ChangeId &id, const ExpertMap &map) override;

private:
    std::optional<std::string> call(const std::string &path, std::string body);

    HttpClient &m_client;
    std::string m_url;
    Milliseconds m_timeout;
};

} // namespace burdockhead
