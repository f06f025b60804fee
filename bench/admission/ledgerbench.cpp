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
constexpr std::size_t responseBytes = 500;
constexpr Incarnation incarnation{1};

LedgerRequest requestOf(std::uint64_t number, bool isKeyed)
{
    LedgerRequest request;
    request.m_attempt = {1, number};
    if (isKeyed)
        request.m_key = "workspace/sign-off-of-report-" + std::to_string(number);
    request.m_fingerprint = number;
    return request;
}

struct Measured
{
    std::vector<double> m_nanoseconds; // Per dispatch and completion.
    std::vector<double> m_heapBytes;   // Heap bytes per request.
    std::vector<double> m_ledgerBytes; // Bytes per request as counted by the ledger.
};

Measured measure(bool isKeyed)
{
    const StoredResponse response{200, "application/json",
                                  isKeyed ? std::string(responseBytes, 'x') : std::string()};
    LedgerLimits limits;
    limits.m_maxBytes = std::size_t{64} * 1024 * 1024;
    Measured measured;
    for (int run = 0; run < runs; ++run) {
        const auto heapBefore = mallinfo2().uordblks;
        auto ledger = std::make_unique<RequestLedger>(incarnation, limits);
        const TimePoint startedAt = Clock::now();
        for (std::uint64_t number = 1; number <= keys; ++number) {
            ledger->dispatch(requestOf(number, isKeyed), TimePoint());
            ledger->onCompleted({1, number}, response, TimePoint());
        }
        const Duration elapsed = Clock::now() - startedAt;
        const auto heapAfter = mallinfo2().uordblks;
        measured.m_nanoseconds.push_back(std::chrono::duration<double, std::nano>(elapsed).count()
                                         / keys);
        measured.m_heapBytes.push_back(static_cast<double>(heapAfter - heapBefore) / keys);
        measured.m_ledgerBytes.push_back(static_cast<double>(ledger->bytes()) / keys);
    }
    return measured;
}

} // namespace

void printLedger()
{
    fmt::print("### The agent's ledger\n\n"
               "{} requests that have completed, keyed ones with an answer of {} bytes; median "
               "(least..greatest) of {} runs.\n\n",
               keys, responseBytes, runs);
    fmt::print("| requests | dispatch and completion, ns | bytes of the heap a request | bytes "
               "counted a request |\n|---|---|---|---|\n");
    for (const bool isKeyed : {true, false}) {
        const Measured measured = measure(isKeyed);
        fmt::print("| {} | {} | {} | {} |\n", isKeyed ? "keyed" : "keyless",
                   medianAndSpread(measured.m_nanoseconds, 0),
                   medianAndSpread(measured.m_heapBytes, 0),
                   medianAndSpread(measured.m_ledgerBytes, 0));
    }
    fmt::print("\n");
}

} // namespace burdockhead
