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

// The processes to ask, and those that can't be asked.
struct Members
{
    std::vector<MemberAddress> m_known;
    std::string m_withoutAddress; // Their names, separated by commas.
};

void addMember(Members &members, const MemberAddress &member)
{
    if (member.m_operators.m_port == 0) {
        members.m_withoutAddress += members.m_withoutAddress.empty() ? "" : ", ";
        members.m_withoutAddress += member.m_name.text();
        return;
    }
    const bool isKnown =
        std::any_of(members.m_known.begin(), members.m_known.end(),
                    [&](const auto &item) { return item.m_operators == member.m_operators; });
    if (!isKnown)
        members.m_known.push_back(member);
}

// The processes that an entry knows and those that the flags name; none, with the reason,
// when no entry answers.
std::optional<Members> readMembers(const CommandOptions &options, Failure &failure)
{
    ConfigurationClient client(options.m_entries, options.m_timeout);
    const auto response = client.get(membersPath, failure);
    if (!response)
        return std::nullopt;
    const auto listed = membersFromBody(response->m_body);
    if (!listed) {
        failure = {ErrorKind::Internal, "an entry's list of members can't be read"};
        return std::nullopt;
    }
    Members members;
    for (const MemberAddress &member : *listed)
        addMember(members, member);
    for (const SocketAddress &address : options.m_entries)
        addMember(members, {ProcessName("entry"), address});
    for (const SocketAddress &address : options.m_processes)
        addMember(members, {ProcessName("process"), address});
    return members;
}

void print(const CommandContext &context, const Members &members, const CollectedTimeline &timeline)
{
    if (context.m_options.m_json)
        context.m_out << toJsonLines(timeline.m_events);
    else
        for (const Event &event : timeline.m_events)
            context.m_out << toText(event) << "\n";
    for (const UnreachableMember &member : timeline.m_unreachable)
        context.m_err << "not reached: " << member.m_member.m_name.text() << " at "
                      << member.m_member.m_operators.toString() << ": " << member.m_reason << "\n";
    if (!members.m_withoutAddress.empty())
        context.m_err << "without a known address for operators, reached only if named with "
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
    const auto members = readMembers(context.m_options, failure);
    if (!members) {
        context.m_err << toString(failure.m_kind) << ": " << failure.m_reason << "\n";
        return ExitUnreachable;
    }
    const auto timeline = collectTimeline(members->m_known, context.m_options.m_filter,
                                          Clock::now() + context.m_options.m_timeout);
    print(context, *members, timeline);
    return timeline.m_unreachable.size() < members->m_known.size() ? ExitOk : ExitUnreachable;
}

} // namespace burdockhead
