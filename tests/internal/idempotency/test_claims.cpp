#include "fakeplatform.h"
#include <burdockhead/idempotency/claimservice.h>
#include <burdockhead/idempotency/claimshardwriter.h>

#include <atomic>
#include <map>
#include <property.h>

using namespace burdockhead;

namespace {

constexpr std::uint64_t wallNow = 1'000'000;

Claim claimOf(const std::string &key, std::uint64_t incarnation)
{
    return {key, {EndpointName("endpoint"), Incarnation{incarnation}}};
}

std::uint64_t fixedWall()
{
    return wallNow;
}

ClaimServiceOptions quickLimits()
{
    ClaimServiceOptions limits;
    limits.m_writeInterval = Milliseconds(1);
    return limits;
}

// One entry's claim through its own writer, given a few tries.
std::optional<Binding> claimThrough(ClaimShardWriter &writer, const Claim &claim,
                                    ClaimServiceCounters &counters)
{
    std::optional<Binding> answer;
    std::vector<PendingClaim> batch;
    batch.push_back({claim, {}, [&](std::optional<Binding> binding, const Failure &) {
                         answer = std::move(binding);
                     }});
    for (int tries = 0; tries < 3 && !batch.empty(); ++tries)
        writer.process(batch, wallNow, counters);
    return answer;
}

// Several entries claim the same keys for different runs while the platform fails at any
// call. Every answer given for a key must be the same.
bool answersAgree(bool blind)
{
    FakePlatform platform;
    BlindResend resending(platform);
    ObjectApi &api = blind ? static_cast<ObjectApi &>(resending) : platform;
    const auto entries = *rc::gen::inRange(2, 4);
    std::vector<ClaimShardWriter> writers;
    writers.reserve(entries);
    for (int entry = 0; entry < entries; ++entry)
        writers.emplace_back(api, ClaimServiceOptions(), 0);
    const auto faults = *rc::gen::container<std::vector<int>>(64, rc::gen::inRange(0, 6));
    std::size_t calls = 0;
    platform.m_faults = [&] {
        const int drawn = faults[calls++ % faults.size()];
        return drawn > 2 ? PlatformFault::None : static_cast<PlatformFault>(drawn);
    };
    std::map<std::string, Binding> answered;
    ClaimServiceCounters counters;
    const auto steps = *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 1000));
    bool agree = true;
    for (const int step : steps) {
        const std::string key = std::to_string(step % 3);
        const int entry = step / 3 % entries;
        const auto binding = claimThrough(writers[entry], claimOf(key, 1 + entry), counters);
        if (binding)
            agree = agree && answered.emplace(key, *binding).first->second == *binding;
    }
    return agree;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Claims)

BOOST_AUTO_TEST_CASE(the_first_claim_wins_and_later_ones_learn_of_it)
{
    ClaimShard shard{ClaimShardLimits()};
    bool changed = false;
    shard.merge(claimOf("key", 1), wallNow, changed);
    BOOST_TEST(changed);
    changed = false;
    BOOST_TEST(shard.merge(claimOf("key", 2), wallNow, changed)->m_incarnation.m_value == 1U);
    BOOST_TEST(!changed);
}

BOOST_AUTO_TEST_CASE(a_shard_reads_back_what_it_wrote_and_never_outgrows_its_bound)
{
    checkProperty("shard round trip", [](const std::vector<std::string> &keys) {
        ClaimShardLimits limits;
        limits.m_bytes = 500;
        ClaimShard shard(limits);
        bool changed = false;
        for (const std::string &key : keys)
            shard.merge(claimOf(key, 3), wallNow, changed);
        const std::string value = shard.encode();
        RC_ASSERT(value.size() <= limits.m_bytes);
        const auto read = ClaimShard::decode(value, limits);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->encode() == value);
        RC_ASSERT(read->bytes() == shard.bytes());
    });
}

BOOST_AUTO_TEST_CASE(any_bytes_decode_to_a_shard_or_to_none)
{
    checkProperty("arbitrary values",
                  [](const std::string &value) { ClaimShard::decode(value, ClaimShardLimits()); });
}

BOOST_AUTO_TEST_CASE(a_full_shard_refuses_until_claims_lapse)
{
    ClaimShardLimits limits;
    limits.m_bytes = 100;
    ClaimShard shard(limits);
    bool changed = false;
    BOOST_TEST(shard.merge(claimOf("a", 1), wallNow, changed).has_value());
    BOOST_TEST(!shard.merge(claimOf("b", 1), wallNow, changed).has_value());
    const std::uint64_t later = wallNow + limits.m_retentionMilliseconds + 1;
    shard.expire(later);
    BOOST_TEST(shard.merge(claimOf("b", 1), later, changed).has_value());
}

BOOST_AUTO_TEST_CASE(a_key_has_one_binding_whatever_the_platform_does)
{
    checkProperty("answers agree", [] { RC_ASSERT(answersAgree(false)); });
}

BOOST_AUTO_TEST_CASE(one_binding_needs_the_reading_back_after_a_lost_answer)
{
    BOOST_TEST(!rc::check("blind resend", [] { RC_ASSERT(answersAgree(true)); }));
}

BOOST_AUTO_TEST_CASE(many_claims_share_a_write)
{
    FakePlatform platform;
    platform.m_latency = std::chrono::milliseconds(2);
    constexpr int claims = 400;
    std::atomic<int> bound = 0;
    std::atomic<int> answered = 0;
    {
        ClaimService service(platform, quickLimits(), fixedWall);
        for (int index = 0; index < claims; ++index) {
            service.claim(claimOf(std::to_string(index), 1), Clock::now() + Seconds(30),
                          [&](const std::optional<Binding> &binding, const Failure &) {
                              bound += binding ? 1 : 0;
                              ++answered;
                          });
        }
        while (answered < claims)
            std::this_thread::yield();
    }
    BOOST_TEST(bound == claims);
    BOOST_TEST(platform.m_writes < claims / 4);
}

BOOST_AUTO_TEST_CASE(without_the_platform_a_claim_fails_at_its_deadline)
{
    FakePlatform platform;
    platform.m_faults = [] { return PlatformFault::Down; };
    ClaimService service(platform, quickLimits(), fixedWall);
    Failure failure;
    BOOST_TEST(!service.claimAndWait(claimOf("key", 1), Clock::now() + Milliseconds(30), failure));
    BOOST_TEST((failure.m_kind == ErrorKind::PlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(a_claim_that_was_read_is_answered_through_an_outage)
{
    FakePlatform platform;
    ClaimShardWriter writer(platform, ClaimServiceOptions(), 0);
    ClaimServiceCounters counters;
    BOOST_TEST(claimThrough(writer, claimOf("known", 1), counters).has_value());
    platform.m_faults = [] { return PlatformFault::Down; };
    BOOST_TEST(!claimThrough(writer, claimOf("new", 1), counters).has_value());
    BOOST_TEST(claimThrough(writer, claimOf("known", 2), counters)->m_incarnation.m_value == 1U);
}

BOOST_AUTO_TEST_CASE(stopping_answers_every_waiting_claim)
{
    FakePlatform platform;
    platform.m_faults = [] { return PlatformFault::Down; };
    int answered = 0;
    {
        ClaimService service(platform, quickLimits(), fixedWall);
        for (int index = 0; index < 10; ++index)
            service.claim(claimOf(std::to_string(index), 1), Clock::now() + Seconds(60),
                          [&](const std::optional<Binding> &, const Failure &) { ++answered; });
    }
    BOOST_TEST(answered == 10);
}

BOOST_AUTO_TEST_SUITE_END()
