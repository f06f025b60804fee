#include <burdockhead/gateway/quarantineadmin.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/quarantinecommands.h>

#include <ostream>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

struct GatewayReply
{
    int m_status = 0; // 0 without a reply.
    std::string m_text;
};

// Asks the gateways in turn until one replies.
GatewayReply askGateway(const CommandContext &context, const std::string &method,
                        const std::string &target, const std::string &body)
{
    GatewayReply reply;
    for (const SocketAddress &gateway : context.m_options.m_gateways) {
        EventLoop loop;
        HttpClientPool client(loop);
        ShortCall call(loop, client, gateway, method, target, body,
                       Clock::now() + context.m_options.m_timeout,
                       [&loop](ShortCall &) { loop.stop(); });
        loop.run();
        reply = {call.status(), call.status() == 0 ? call.failure() : call.body()};
        if (reply.m_status != 0)
            return reply;
        context.m_err << "gateway at " << gateway.toString() << ": " << reply.m_text << "\n";
    }
    return reply;
}

bool hasGateway(const CommandContext &context)
{
    if (context.m_options.m_gateways.empty())
        context.m_err << "burdockhead: flag --gateway is missing\n";
    return !context.m_options.m_gateways.empty();
}

int report(const CommandContext &context, const GatewayReply &reply)
{
    if (reply.m_status == 0)
        return ExitUnreachable;
    context.m_err << "the gateway refused with status " << reply.m_status << "\n";
    return ExitFailed;
}

} // namespace

int runQuarantinesCommand(CommandContext &context)
{
    if (!hasGateway(context))
        return ExitUsage;
    const GatewayReply reply = askGateway(context, "GET", quarantinesPath, "");
    if (reply.m_status != statusOk)
        return report(context, reply);
    context.m_out << (reply.m_text.empty() ? "none\n" : reply.m_text);
    return ExitOk;
}

int runLiftQuarantineCommand(CommandContext &context)
{
    if (!hasGateway(context))
        return ExitUsage;
    const PromptPart part = {GroupName(context.m_arguments[0]), context.m_arguments[1]};
    const GatewayReply reply =
        askGateway(context, "POST", liftQuarantinePath, liftQuarantineBody(part));
    if (reply.m_status == statusNotFound) {
        context.m_err << "the part isn't in quarantine\n";
        return ExitFailed;
    }
    if (reply.m_status != statusOk)
        return report(context, reply);
    context.m_out << "lifted\n";
    return ExitOk;
}

} // namespace burdockhead
