#include "statistics.h"
#include "tables.h"
#include <burdockhead/idempotency/requestledger.h>

#include <fmt/format.h>

#include <malloc.h>
#include <memory>

namespace burdockhead {

namespace {

constexpr int runs = 5;
constexpr std::uint64_t keys = 20'000;
constexpr std::size_t answerBytes = 500;
constexpr Incarnation incarnation{1};

LedgerRequest requestOf(std::uint64_t number, bool keyed)
{
    LedgerRequest request;
    request.m_attempt = {1, number};
    if (keyed)
        request.m_key = "workspace/sign-off-of-report-" + std::to_string(number);
    request.m_fingerprint = number;
    return request;
}

struct Measured
{
    std::vector<double> m_nanoseconds; // For a dispatch with its completion.
    std::vector<double> m_real;        // Bytes of the heap a request.
    std::vector<double> m_counted;     // Bytes that the ledger counts a request.
};

Measured measure(bool keyed)
{
    const StoredResponse answer{200, "application/json",
                                keyed ? std::string(answerBytes, 'x') : std::string()};
    LedgerLimits limits;
    limits.m_maxBytes = std::size_t{64} * 1024 * 1024;
    Measured measured;
    for (int run = 0; run < runs; ++run) {
        const auto before = mallinfo2().uordblks;
        auto ledger = std::make_unique<RequestLedger>(incarnation, limits);
        const TimePoint begun = Clock::now();
        for (std::uint64_t number = 1; number <= keys; ++number) {
            ledger->dispatch(requestOf(number, keyed), TimePoint());
            ledger->onCompleted({1, number}, answer, TimePoint());
        }
        const Duration spent = Clock::now() - begun;
        const auto after = mallinfo2().uordblks;
        measured.m_nanoseconds.push_back(std::chrono::duration<double, std::nano>(spent).count()
                                         / keys);
        measured.m_real.push_back(static_cast<double>(after - before) / keys);
        measured.m_counted.push_back(static_cast<double>(ledger->bytes()) / keys);
    }
    return measured;
}

} // namespace

void printLedger()
{
    fmt::print("### The agent's ledger\n\n"
               "{} requests that have completed, keyed ones with an answer of {} bytes; median "
               "(least..greatest) of {} runs.\n\n",
               keys, answerBytes, runs);
    fmt::print("| requests | dispatch and completion, ns | bytes of the heap a request | bytes "
               "counted a request |\n|---|---|---|---|\n");
    for (const bool keyed : {true, false}) {
        const Measured measured = measure(keyed);
        fmt::print("| {} | {} | {} | {} |\n", keyed ? "keyed" : "keyless",
                   medianAndSpread(measured.m_nanoseconds, 0), medianAndSpread(measured.m_real, 0),
                   medianAndSpread(measured.m_counted, 0));
    }
    fmt::print("\n");
}

} // namespace burdockhead
