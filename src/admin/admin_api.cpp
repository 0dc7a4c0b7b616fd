#include "admin/admin_api.h"

#include <utility>

namespace mothrack::admin {
namespace {

constexpr double kMaxCallsPerSecond = 20;  // a burst may have as many

std::string AfterParameter(const Call& call) {
  static const std::string kName = "after=";
  return call.query.rfind(kName, 0) == 0 ? PercentDecoded(call.query.substr(kName.size())) : std::string();
}

}  // namespace

AdminApi::AdminApi(boost::asio::io_context& io, const Settings& settings, Source source, runtime::Logger& log)
    : settings_(settings),
      source_(std::move(source)),
      log_(log),
      rate_limiter_(kMaxCallsPerSecond, kMaxCallsPerSecond, runtime::Now()),
      server_(
          io, {"admin.listen", settings.unix_path, settings.endpoint}, {kConnections, 0}, "admin", Routes(),
          [this](const Call& call) { return Guard(call); }, log) {}

std::vector<Route> AdminApi::Routes() {
  return {{"GET", "/v1/status",
           [this](const Call& call) {
             return Answer{200, source_.status(AfterParameter(call))};
           }},
          {"POST", "/v1/reload",
           [this](const Call&) {
             const std::string error = source_.reload();
             return error.empty() ? Answer{200, {{"reloaded", true}}} : Fault(409, error);
           }},
          {"POST", "/v1/drain", [this](const Call&) {
             log_.Info("drain_asked");
             source_.drain();
             return Answer{202, {{"draining", true}}};
           }}};
}

std::optional<Answer> AdminApi::Guard(const Call& call) {
  if (!rate_limiter_.Take(runtime::Now())) return Fault(429, "too many calls; call less often");
  // Without a token, the file mode of the Unix socket has authorized the caller.
  if (settings_.token.empty() || HasBearerToken(call, settings_.token)) return std::nullopt;
  return Fault(401, "give the token as Authorization: Bearer TOKEN");
}

}  // namespace mothrack::admin
