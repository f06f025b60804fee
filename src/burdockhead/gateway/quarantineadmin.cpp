#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/gateway/quarantineadmin.h>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;
constexpr int statusMalformed = 400;
constexpr int statusNotFound = 404;
constexpr int statusWrongMethod = 405;

std::string listText(const PromptGuard &promptGuard, TimePoint now)
{
    std::string text;
    for (const auto &[part, entry] : promptGuard.quarantines().entries()) {
        if (!entry.m_isActive)
            continue;
        text += "quarantined " + part.m_service.text() + " " + part.m_id + " level="
                + std::to_string(entry.m_level) + " outages=" + std::to_string(entry.m_outages)
                + " probe_ms=" + std::to_string(millisecondsUntil(entry.m_probeAt, now))
                + " decided_by=" + entry.m_decidedBy.text() + "\n";
    }
    for (const PromptPart &part : promptGuard.evidence().suspects())
        text += "suspect " + part.m_service.text() + " " + part.m_id + "\n";
    return text;
}

} // namespace

std::string liftQuarantineBody(const PromptPart &part)
{
    MessageWriter writer;
    return writer.text(part.m_service.text()).text(part.m_id).take();
}

bool handleQuarantineRequest(PromptGuard &promptGuard, HttpExchange &exchange, TimePoint now)
{
    const HttpHead &request = exchange.head();
    const bool isLift = request.m_target == liftQuarantinePath;
    if (!isLift && request.m_target != quarantinesPath)
        return false;
    if (request.m_method != (isLift ? "POST" : "GET")) {
        exchange.answer(statusWrongMethod, {}, "");
        return true;
    }
    if (!isLift) {
        exchange.answer(statusOk, {{"Content-Type", "text/plain"}}, listText(promptGuard, now));
        return true;
    }
    MessageReader reader(exchange.body());
    PromptPart part;
    part.m_service = GroupName(reader.text());
    part.m_id = reader.text();
    const bool isValid = reader.complete();
    const bool isLifted = isValid && promptGuard.lift(part, now);
    exchange.answer(!isValid ? statusMalformed : isLifted ? statusOk : statusNotFound, {}, "");
    return true;
}

} // namespace burdockhead
