#include <burdockhead/observe/eventtext.h>
#include <burdockhead/operators/configurationclient.h>
#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/operatorsprotocol.h>
#include <burdockhead/operators/timelinecollector.h>
#include <burdockhead/operators/timelinecommand.h>

#include <algorithm>
#include <ostream>

namespace burdockhead {

namespace {

// The processes to query, and those whose operator address is unknown.
struct TimelineMembers
{
    std::vector<MemberAddress> m_withAddress;
    std::string m_withoutAddress; // Comma-separated names.
};

void addMember(TimelineMembers &members, const MemberAddress &member)
{
    if (member.m_operatorAddress.m_port == 0) {
        members.m_withoutAddress += members.m_withoutAddress.empty() ? "" : ", ";
        members.m_withoutAddress += member.m_name.text();
        return;
    }
    const bool isListed = std::any_of(
        members.m_withAddress.begin(), members.m_withAddress.end(),
        [&](const auto &item) { return item.m_operatorAddress == member.m_operatorAddress; });
    if (!isListed)
        members.m_withAddress.push_back(member);
}

// Returns the processes that an entry lists and those that the flags name, or none and the
// failure when no entry responds.
std::optional<TimelineMembers> fetchMembers(const CommandOptions &options, Failure &failure)
{
    ConfigurationClient client(options.m_entries, options.m_timeout);
    const auto response = client.get(membersPath, failure);
    if (!response)
        return std::nullopt;
    const auto listedMembers = parseMembers(response->m_body);
    if (!listedMembers) {
        failure = {ErrorKind::Internal, "cannot parse the member list of an entry"};
        return std::nullopt;
    }
    TimelineMembers members;
    for (const MemberAddress &member : *listedMembers)
        addMember(members, member);
    for (const SocketAddress &address : options.m_entries)
        addMember(members, {ProcessName("entry"), address});
    for (const SocketAddress &address : options.m_processes)
        addMember(members, {ProcessName("process"), address});
    return members;
}

void printTimeline(const CommandContext &context, const TimelineMembers &members,
                   const CollectedTimeline &timeline)
{
    if (context.m_options.m_json)
        context.m_out << toJsonLines(timeline.m_events);
    else
        for (const Event &event : timeline.m_events)
            context.m_out << toText(event) << "\n";
    for (const UnreachableMember &member : timeline.m_unreachable)
        context.m_err << "not reached: " << member.m_member.m_name.text() << " at "
                      << member.m_member.m_operatorAddress.toString() << ": " << member.m_reason
                      << "\n";
    if (!members.m_withoutAddress.empty())
        context.m_err << "without a known operator address, reached only if given with "
                         "--entry or --process: "
                      << members.m_withoutAddress << "\n";
}

} // namespace

int runTimelineCommand(CommandContext &context)
{
    if (context.m_options.m_entries.empty()) {
        context.m_err << "burdockhead: flag --entry is missing\n";
        return ExitUsage;
    }
    Failure failure;
    const auto members = fetchMembers(context.m_options, failure);
    if (!members) {
        context.m_err << toString(failure.m_kind) << ": " << failure.m_reason << "\n";
        return ExitUnreachable;
    }
    const auto timeline = collectTimeline(members->m_withAddress, context.m_options.m_filter,
                                          Clock::now() + context.m_options.m_timeout);
    printTimeline(context, *members, timeline);
    return timeline.m_unreachable.size() < members->m_withAddress.size() ? ExitOk : ExitUnreachable;
}

} // namespace burdockhead
