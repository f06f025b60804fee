#pragma once

#include "endpointstandin.h"

#include <map>
#include <string>
#include <vector>

namespace burdockhead::test {

// How a client's request ended, as the client saw it.
struct ClientOutcome
{
    std::string m_id;
    std::string m_path;
    std::string m_credential;
    TimePoint m_sentAt;
    int m_status = 0; // 0: no answer.
    bool m_isWhole = false;
    std::string m_signature;
    std::string m_body;
};

// What clients and endpoints have seen, and the promises that must hold between them.
class RequestBook
{
public:
    void note(const ClientOutcome &outcome);

    // An endpoint ran a request.
    void noteRun(const std::string &endpoint, const RanRequest &request);

    // A configuration that takes a credential away was confirmed; from then on until the time
    // given nothing disturbed the store or the gateways.
    void noteRevoked(const std::string &credential, TimePoint inForceBy, TimePoint calmUntil);

    // The promises that were broken, one line each; empty when all hold.
    std::vector<std::string> violations() const;

    // The part of the requests with that credential sent since then that were served.
    double servedSince(TimePoint since, const std::string &credential) const;

    std::size_t requests() const { return m_outcomes.size(); }
    std::size_t served() const;

private:
    struct Revocation
    {
        std::string m_credential;
        TimePoint m_inForceBy;
        TimePoint m_calmUntil;
    };

    void check(const ClientOutcome &outcome, std::vector<std::string> &found) const;

    std::vector<ClientOutcome> m_outcomes;
    std::map<std::string, std::vector<std::string>> m_runs; // Endpoints, by request.
    std::vector<std::string> m_leaks;
    std::vector<Revocation> m_revocations;
};

} // namespace burdockhead::test
