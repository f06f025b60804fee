#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/stepengine.h>
#include <burdockhead/http/httpclient.h>

#include <string>

namespace burdockhead {

// A rank's engine behind its HTTP port: orders "step_gate" and "stage_map", and
// GET /expert-map. Calls block until the answer or the time limit.
class HttpStepEngine : public StepEngine
{
public:
    // The URL names host and port; the client must outlive the engine.
    HttpStepEngine(HttpClient &client, std::string url, Milliseconds timeLimit);

    std::optional<StepEngineState> read() override;
    std::optional<StepEngineState> store(const GateRecord &record) override;
    bool stage(const ChangeId &id, const ExpertMap &map) override;

private:
    std::optional<std::string> call(const std::string &path, std::string body);

    HttpClient &m_client;
    std::string m_url;
    Milliseconds m_timeLimit;
};

} // namespace burdockhead
